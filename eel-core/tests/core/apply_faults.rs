//! Guards against an apply that reports a wrong status when the store fails, hangs or loses responses.

use eel_core::{
    apply::{self, ApplyStatus},
    read_records,
};
use eel_standin::kv::{Faults, KvServer};
use serde_json::json;

use crate::directory::{Operator, PREFIX, connect, connect_within, has_lock, service, slots};

#[tokio::test]
async fn lost_answers() {
    // Number of responses lost after the write, records to change, whether a record is deleted as well.
    for (lost_responses, changes, deletes) in
        [(1, 1, false), (2, 3, false), (1, 0, true), (1, 2, true)]
    {
        let server = KvServer::start().await.unwrap();
        let store = connect(&server);
        let operator = Operator::new("t");
        let names = ["a", "b", "c", "gone"];
        for name in names {
            operator.declare(name, 1);
        }
        operator.apply(&store).await;
        for name in &names[..changes] {
            operator.declare(name, 2);
        }
        if deletes {
            operator.remove("gone");
        }
        server.set_faults(Faults {
            lost_responses,
            ..Faults::default()
        });
        let options = apply::Options {
            prune: true,
            ..operator.options()
        };
        let outcome = operator.apply_with(&options, &store).await;
        let case =
            format!("{lost_responses} lost, {changes} changes, deletes {deletes}: {outcome}");
        assert_eq!(outcome.status, ApplyStatus::Applied, "{case}");
        assert_eq!(
            outcome.applied.len(),
            changes + usize::from(deletes),
            "{case}"
        );
        let found = slots(&store).await;
        assert_eq!(found.len(), names.len() - usize::from(deletes), "{case}");
        assert_eq!(
            found.iter().filter(|(_, slots)| *slots == 2).count(),
            changes,
            "{case}"
        );
        let again = operator.apply_with(&options, &store).await;
        assert_eq!(again.revision, None, "{case}: nothing is left to change");
    }
}

#[tokio::test]
async fn store_without_answers() {
    let cases = [
        (
            Faults {
                unavailable: true,
                ..Faults::default()
            },
            false,
        ),
        (
            Faults {
                hang: true,
                ..Faults::default()
            },
            false,
        ),
        (
            Faults {
                lost_responses: 100,
                ..Faults::default()
            },
            true,
        ),
    ];
    for (faults, takes_effect) in cases {
        let server = KvServer::start().await.unwrap();
        let store = connect(&server);
        let operator = Operator::new("t");
        operator.declare("a", 1);
        let ready = operator.prepare(&store).await;
        server.set_faults(faults.clone());
        let impatient = connect_within(&server, 100);
        let outcome = operator.commit(ready, &impatient).await;
        server.set_faults(Faults::default());
        let is_stored = !slots(&store).await.is_empty();
        assert_eq!(is_stored, takes_effect, "{faults:?}");
        match outcome.status {
            ApplyStatus::Applied => assert!(is_stored, "{faults:?}"),
            ApplyStatus::NotWritten => assert!(!is_stored, "{faults:?}"),
            ApplyStatus::Unknown => assert_eq!(outcome.exit().code(), 4),
            status => panic!("{faults:?}: {status:?}"),
        }
        assert!(operator.apply(&store).await.exit().code() == 0);
        assert_eq!(slots(&store).await.len(), 1);
    }
}

#[tokio::test]
async fn store_down_at_start() {
    let mut server = KvServer::start().await.unwrap();
    let store = connect(&server);
    server.stop().await;
    let operator = Operator::new("t");
    operator.declare("a", 1);
    let report = apply::apply(&operator.options(), &operator.context(&store)).await;
    let report = report.unwrap_err();
    assert!(
        matches!(report.current_context(), apply::Error::Store),
        "{report:?}"
    );
    assert!(!has_lock(operator.directory.path()));
}

#[tokio::test]
async fn large_changes_take_parts() {
    let server = KvServer::start().await.unwrap();
    let store = connect(&server);
    let operator = Operator::new("t");
    let records: Vec<_> = (0..300).map(|i| service(&format!("s{i}"), 1)).collect();
    operator.write("all", &json!(records));
    let writes = server.counts().writes;
    let outcome = operator.apply(&store).await;
    assert_eq!(
        (outcome.status, outcome.applied.len()),
        (ApplyStatus::Applied, 300)
    );
    assert_eq!(server.counts().writes - writes, 3);
}

#[tokio::test]
async fn invalid_directory_writes_nothing() {
    let server = KvServer::start().await.unwrap();
    let store = connect(&server);
    let operator = Operator::new("t");
    operator.declare("good", 1);
    let mut too_new = service("new", 1);
    too_new["schema"] = json!(3);
    for bad in [service("bad", 0), too_new] {
        operator.write("bad", &bad);
        let outcome = operator.apply(&store).await;
        assert_eq!(outcome.status, ApplyStatus::Invalid, "{outcome}");
        assert_eq!(outcome.exit().code(), 2);
    }
    assert_eq!(slots(&store).await, []);
}

#[tokio::test]
async fn unknown_fields_reach_the_store() {
    let server = KvServer::start().await.unwrap();
    let store = connect(&server);
    let operator = Operator::new("t");
    let mut record = service("a", 1);
    record["spec"]["later"] = json!({ "x": [1, null] });
    record["colour"] = json!("red");
    operator.write("a", &record);
    assert_eq!(operator.apply(&store).await.status, ApplyStatus::Applied);
    let stored = read_records(&store, PREFIX).await.unwrap();
    let entry = stored.records.values().next().unwrap();
    assert_eq!(entry.content(), record);
    assert_eq!(entry.record.as_ref().unwrap().token(), Some("t"));
}

#[tokio::test]
async fn references_into_the_store() {
    let server = KvServer::start().await.unwrap();
    let store = connect(&server);
    let [services, callers] = ["s", "c"].map(Operator::new);
    let spec = json!({ "key_sha256": "0".repeat(64), "services": ["a"] });
    let caller = json!({ "schema": 1, "kind": "caller", "name": "club", "spec": spec });
    callers.write("club", &caller);
    assert_eq!(callers.apply(&store).await.status, ApplyStatus::Invalid);
    services.declare("a", 1);
    assert_eq!(services.apply(&store).await.status, ApplyStatus::Applied);
    let ready = callers.prepare(&store).await;

    services.remove("a");
    services.declare("b", 1);
    let prune = apply::Options {
        prune: true,
        ..services.options()
    };
    let outcome = services.apply_with(&prune, &store).await;
    assert_eq!(outcome.status, ApplyStatus::Applied, "{outcome}");
    let outcome = callers.commit(ready, &store).await;
    assert_eq!(
        outcome.status,
        ApplyStatus::Conflict,
        "the service went away meanwhile: {outcome}"
    );
    assert_eq!(callers.apply(&store).await.status, ApplyStatus::Invalid);
}
