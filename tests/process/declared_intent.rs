//! The operator's command line against a store and running entry nodes.
//!
//! Guards against an invalid or conflicting record that is written over a valid one, and against a status that reports
//! a record as in force while the nodes keep the former one, which happens when its schema is newer than they can read.

use std::{
    fs,
    path::{Path, PathBuf},
};

use eel_store::{EtcdJson, EtcdOptions, KeyValue as _, Op, Txn};
use serde_json::json;
use tempfile::TempDir;

use crate::{
    command_line::{CommandOutput, run},
    fleet::{Platform, eventually},
};

const SERVICE_KEY: &str = "/eelgrassgap/config/service/dispatch";

/// Runs the command line against the store at the URL `store`.
async fn run_at(store: &str, args: &[&str]) -> CommandOutput {
    run(&[&["--store", store], args].concat()).await
}

fn declare(directory: &TempDir, slots: u32) -> PathBuf {
    let spec = json!({ "pool": "dispatch-runners", "protocol": "plain", "slots": slots });
    let record = json!({ "schema": 1, "kind": "service", "name": "dispatch", "spec": spec });
    let path = directory.path().join("dispatch.json");
    fs::write(&path, record.to_string()).unwrap();
    directory.path().to_owned()
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[tokio::test]
async fn exit_codes() {
    let platform = Platform::start(&[]).await;
    let store = platform.store.url();
    let directories = [(); 3].map(|()| tempfile::tempdir().unwrap());
    let first = declare(&directories[0], 1);
    let other = declare(&directories[1], 2);
    let invalid = declare(&directories[2], 0);
    let nowhere = "http://127.0.0.1:1";
    // URL of the store, arguments, exit code, part of the output
    let steps: [(&str, &[&str], i32, &str); 11] = [
        (&store, &["check", text(&first)], 0, "1 records, valid"),
        (
            &store,
            &["check", text(&invalid)],
            2,
            "dispatch.json:1: service/dispatch: spec.slots: 0 is not allowed",
        ),
        (&store, &["check", "/nowhere"], 1, "cannot read /nowhere"),
        (
            &store,
            &["plan", text(&first)],
            0,
            "+ create service/dispatch",
        ),
        (
            nowhere,
            &["apply", text(&first)],
            1,
            "cannot read the store; nothing was written",
        ),
        (&store, &["apply", text(&invalid)], 2, "nothing was written"),
        (
            &store,
            &["apply", text(&first)],
            0,
            "applied 1 records at revision 3",
        ),
        (&store, &["apply", text(&first)], 0, "nothing to change"),
        (
            &store,
            &["apply", text(&other)],
            3,
            "spec.slots: 1 in the store, 2 here",
        ),
        (
            &store,
            &["get", "service/dispatch"],
            0,
            "\"pool\": \"dispatch-runners\"",
        ),
        (
            &store,
            &["get", "service/none"],
            1,
            "no record service/none exists",
        ),
    ];
    for (store, args, code, part) in steps {
        let output = run_at(store, args).await;
        let printed = format!("{}{}", output.stdout, output.stderr);
        assert_eq!(output.code, code, "{args:?}: {printed}");
        assert!(printed.contains(part), "{args:?}: {printed}");
    }
}

#[tokio::test]
async fn accepted_comes_into_force_and_stays() {
    let platform = Platform::start(&[]).await;
    let store = platform.store.url();
    let entries = [
        platform.start_entry("e1").await,
        platform.start_entry("e2").await,
    ];
    let status = [
        "--format",
        "json",
        "status",
        "--node",
        &entries[0].admin_url,
        "--node",
        &entries[1].admin_url,
    ];
    let directory = tempfile::tempdir().unwrap();
    let path = declare(&directory, 1);
    assert_eq!(run_at(&store, &["apply", text(&path)]).await.code, 0);
    eventually("the record is in force everywhere", async || {
        run_at(&store, &status).await.code == 0
    })
    .await;

    put_too_new(&store).await;
    eventually("both nodes report the schema", async || {
        let outcome = run_at(&store, &status).await.json();
        let nodes = outcome["nodes"].as_array().unwrap();
        nodes
            .iter()
            .filter(|node| node["problems"] != json!([]))
            .count()
            == 2
    })
    .await;
    let output = run_at(&store, &status).await;
    let outcome = output.json();
    let records = outcome["records"].as_array().unwrap();
    let record = records
        .iter()
        .find(|r| r["key"] == "service/dispatch")
        .unwrap();
    assert_eq!(
        (output.code, &record["accepted"], &record["lowest_in_force"]),
        (6, &json!(4), &json!(3))
    );
    let why = record["behind"][0]["why"].as_str().unwrap();
    assert!(why.contains("schema 3 is newer than 2"), "{why}");
}

async fn put_too_new(store: &str) {
    let store = EtcdJson::new(&EtcdOptions::new(store)).unwrap();
    let record = json!({ "schema": 3, "kind": "service", "name": "dispatch", "spec": {} });
    let txn = Txn {
        success: vec![Op::put(SERVICE_KEY, record.to_string())],
        ..Txn::default()
    };
    store.commit(&txn).await.unwrap();
}
