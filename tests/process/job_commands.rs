//! The command line for batch jobs, declared and submitted ones, against a running fleet.
//!
//! Guards against a second job, which a submission that is repeated with the same idempotency key could start, against
//! results that cannot be read after the job has ended, and against a job that goes on after its record was cancelled.

use std::{fs, path::Path};

use serde_json::{Value, json};

use crate::{
    command_line::{CommandOutput, run},
    fleet::{CALLER_KEY, Entry, Platform, Service},
};

async fn run_job(entry: &Entry, key_file: &Path, args: &[&str]) -> CommandOutput {
    let key_file = key_file.to_str().unwrap();
    let job = [
        "--format",
        "json",
        "job",
        "--entry",
        &entry.url,
        "--key-file",
        key_file,
    ];
    run(&[&job, args].concat()).await
}

fn items(count: usize) -> String {
    let line = |i: usize| {
        let body = json!({ "model": "scribe", "prompt": format!("item {i}"), "max_tokens": 4 });
        json!({ "custom_id": i.to_string(), "method": "POST", "url": "/v1/completions", "body": body })
    };
    let lines: Vec<_> = (0..count).map(|i| line(i).to_string()).collect();
    lines.join("\n")
}

fn declare(directory: &Path, state: &str) {
    let spec = json!({
        "caller": "tester", "service": "scribe", "deadline_unix_ms": 4_000_000_000_000_u64,
        "repeatable": true, "items_file": "items.jsonl", "state": state,
    });
    let record = json!({ "schema": 2, "kind": "job", "name": "nightly", "spec": spec });
    fs::write(directory.join("nightly.json"), record.to_string()).unwrap();
}

#[tokio::test]
async fn declared_and_submitted_jobs_complete() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let _target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let key_file = platform.path("key");
    fs::write(&key_file, CALLER_KEY).unwrap();
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path();
    fs::write(path.join("items.jsonl"), items(5)).unwrap();
    declare(path, "run");
    let store = platform.store.url();
    let apply = [
        "--store",
        &store,
        "--format",
        "json",
        "apply",
        path.to_str().unwrap(),
    ];
    let applied = run(&apply).await;
    assert_eq!(applied.code, 0, "{}{}", applied.stdout, applied.stderr);
    let declared = applied.json()["jobs"][0]["id"].as_str().unwrap().to_owned();

    let file = path.join("items.jsonl");
    let submit = [
        "submit",
        "--service",
        "scribe",
        "--deadline-s",
        "3600",
        "--idempotency-key",
        "k",
        "--wait",
        file.to_str().unwrap(),
    ];
    let submitted = run_job(&entry, &key_file, &submit).await.json();
    assert_eq!(submitted["state"], "completed");
    let again = run_job(&entry, &key_file, &submit).await.json();
    assert_eq!(again["id"], submitted["id"]);

    for id in [&*declared, submitted["id"].as_str().unwrap()] {
        let status = run_job(&entry, &key_file, &["get", "--wait", id])
            .await
            .json();
        assert_eq!(
            (&status["items"], &status["completed"]),
            (&json!(5), &json!(5)),
            "{status}"
        );
        let results = run_job(&entry, &key_file, &["results", "--wait", id]).await;
        let lines: Vec<Value> = results
            .stdout
            .lines()
            .map(|l| serde_json::from_str(l).unwrap())
            .collect();
        let ids: Vec<_> = lines
            .iter()
            .map(|line| line["custom_id"].as_str().unwrap())
            .collect();
        assert_eq!(ids, ["0", "1", "2", "3", "4"], "{}", results.stderr);
    }

    declare(path, "cancelled");
    let cancelled = run(&apply).await;
    let verdict = &cancelled.json()["jobs"][0]["verdict"];
    assert!(*verdict == "ended" || *verdict == "cancelled", "{verdict}");
    let results = run_job(&entry, &key_file, &["results", &declared]).await;
    assert_eq!(results.stdout.lines().count(), 5, "results stay readable");
}

#[tokio::test]
async fn cancelled_record_stops_the_job() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let entry = {
        let _target = platform.start_target("t1", "scribe-runners").await;
        platform.start_ready_entry("e1").await
    };
    let key_file = platform.path("key");
    fs::write(&key_file, CALLER_KEY).unwrap();
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path();
    fs::write(path.join("items.jsonl"), items(50)).unwrap();
    let store = platform.store.url();
    let apply = [
        "--store",
        &store,
        "--format",
        "json",
        "apply",
        path.to_str().unwrap(),
    ];
    declare(path, "run");
    assert_eq!(run(&apply).await.json()["jobs"][0]["verdict"], "accepted");
    declare(path, "cancelled");
    let cancelled = run(&apply).await.json();
    assert_eq!(cancelled["jobs"][0]["verdict"], "cancelled");
    let id = cancelled["jobs"][0]["id"].as_str().unwrap().to_owned();
    let status = run_job(&entry, &key_file, &["get", "--wait", &id])
        .await
        .json();
    assert_eq!(status["state"], "cancelled", "{status}");
}
