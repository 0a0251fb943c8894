//! Guards against declared jobs that are submitted twice or reported with a wrong status, which happens when responses
//! are lost or a record is applied again, and against jobs that run on although their record says cancelled.

use std::fs;

use eel_batch::{JobId, Keys, store::JobStore};
use eel_core::{
    apply::{ApplyStatus, JobApplyStatus, Outcome},
    check,
};
use eel_standin::kv::{Faults, KvServer};
use eel_store::EtcdJson;
use serde_json::{Value, json};

use crate::directory::{NOW_UNIX_MS, Operator, PREFIX, connect};

const ITEMS: &str = r#"{"custom_id":"a","method":"POST","url":"/x","body":{"n":1}}
{"custom_id":"b","method":"POST","url":"/x","body":{"n":2}}"#;

fn operator() -> Operator {
    let operator = Operator::new("t");
    operator.declare("svc", 1);
    let spec = json!({ "key_sha256": "0".repeat(64), "services": ["svc"] });
    let caller = json!({ "schema": 1, "kind": "caller", "name": "club", "spec": spec });
    operator.write("club", &caller);
    write_items(&operator, ITEMS);
    operator
}

fn write_items(operator: &Operator, items: &str) {
    fs::write(operator.directory.path().join("items.jsonl"), items).unwrap();
}

fn job(deadline_unix_ms: u64, state: &str) -> Value {
    json!({ "schema": 2, "kind": "job", "name": "nightly", "spec": {
        "caller": "club", "service": "svc", "deadline_unix_ms": deadline_unix_ms,
        "items_file": "items.jsonl", "state": state,
    } })
}

fn status(outcome: &Outcome) -> JobApplyStatus {
    assert_eq!(outcome.status, ApplyStatus::Applied, "{outcome}");
    outcome.jobs[0].status
}

async fn is_kept(store: &EtcdJson) -> bool {
    let jobs = JobStore::new(store.clone(), Keys::of_fleet(PREFIX));
    let id = JobId::derive("club", "job/nightly");
    jobs.get(id).await.unwrap().is_some()
}

#[tokio::test]
async fn record_drives_the_job() {
    let server = KvServer::start().await.unwrap();
    let store = connect(&server);
    let operator = operator();
    let due = NOW_UNIX_MS + 1;
    // Declared state, whether the items change, expected status, exit code.
    let steps = [
        ("run", false, JobApplyStatus::Accepted, 0),
        ("run", false, JobApplyStatus::Existing, 0),
        ("run", true, JobApplyStatus::Conflict, 5),
        ("cancelled", false, JobApplyStatus::Cancelled, 0),
        ("cancelled", false, JobApplyStatus::Cancelled, 0),
        ("run", false, JobApplyStatus::CancelledBefore, 5),
    ];
    for (state, changes, expected, code) in steps {
        let items = if changes { &ITEMS[..60] } else { ITEMS };
        write_items(&operator, items);
        operator.write("job", &job(due, state));
        let outcome = operator.apply(&store).await;
        assert_eq!(status(&outcome), expected, "{state} {changes}: {outcome}");
        assert_eq!(outcome.exit().code(), code, "{outcome}");
        assert!(is_kept(&store).await);
    }
}

#[tokio::test]
async fn lost_answer_is_settled() {
    for lost_responses in 1..=3 {
        let server = KvServer::start().await.unwrap();
        let store = connect(&server);
        let operator = operator();
        operator.apply(&store).await;
        operator.write("job", &job(NOW_UNIX_MS + 1, "run"));
        server.set_faults(Faults {
            lost_responses,
            ..Faults::default()
        });
        let outcome = operator.apply(&store).await;
        assert_eq!(
            status(&outcome),
            JobApplyStatus::Accepted,
            "{lost_responses}: {outcome}"
        );
        assert!(is_kept(&store).await);
        assert_eq!(
            status(&operator.apply(&store).await),
            JobApplyStatus::Existing
        );
    }
}

#[tokio::test]
async fn late_and_unknown_jobs() {
    for (deadline, state, expected) in [
        (NOW_UNIX_MS, "run", JobApplyStatus::PastDeadline),
        (NOW_UNIX_MS + 1, "cancelled", JobApplyStatus::Unknown),
    ] {
        let server = KvServer::start().await.unwrap();
        let store = connect(&server);
        let operator = operator();
        operator.write("job", &job(deadline, state));
        let outcome = operator.apply(&store).await;
        assert_eq!(status(&outcome), expected, "{outcome}");
        assert!(!is_kept(&store).await);
    }
}

#[tokio::test]
async fn bad_items_write_nothing() {
    let server = KvServer::start().await.unwrap();
    let store = connect(&server);
    let operator = operator();
    operator.write("job", &job(NOW_UNIX_MS + 1, "run"));
    for (items, message) in [
        ("", "the job holds no items"),
        (
            "{\"custom_id\":\"a\",\"method\":\"POST\",\"url\":\"/x\"}\n{}",
            "line 2: missing field",
        ),
    ] {
        write_items(&operator, items);
        let outcome = operator.apply(&store).await;
        assert_eq!(outcome.status, ApplyStatus::Invalid, "{outcome}");
        let text = outcome.to_string();
        assert!(
            text.contains("job.json:1: job/nightly: spec.items_file: "),
            "{text}"
        );
        assert!(text.contains(message), "{text}");
    }
    let stored = eel_core::read_records(&store, PREFIX).await.unwrap();
    assert!(stored.records.is_empty());
}

#[test]
fn example_jobs_are_valid() {
    let directory = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../etc/records");
    let outcome = check::check(&check::Options { directory }).unwrap();
    assert!(outcome.valid && outcome.problems.is_empty(), "{outcome}");
}
