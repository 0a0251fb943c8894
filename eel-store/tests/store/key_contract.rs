//! Guards against reads, compares, atomic branches and refusals that break the contract of
//! [`KeyValue`](eel_store::KeyValue) without any fault: every user of the store would then read or write the wrong
//! keys.

use eel_store::{
    Compare, KeyValue as _, Op, OpOutcome, RangeRequest, RejectReason, StoreError, Txn,
};
use eel_types::Revision;

use crate::fixture::{create, get, put, service, text};

#[tokio::test]
async fn ranges_select() {
    let (_server, client) = service().await;
    for key in ["a/1", "a/2", "a/3", "b/1"] {
        client.commit(&put(key, key)).await.expect("a write");
    }
    let prefix = || RangeRequest::prefix("a/");
    let cases = [
        ("one key", RangeRequest::key("a/2"), vec!["a/2"], 1, false),
        ("absent key", RangeRequest::key("a/"), vec![], 0, false),
        ("prefix", prefix(), vec!["a/1", "a/2", "a/3"], 3, false),
        (
            "all",
            RangeRequest::prefix(""),
            vec!["a/1", "a/2", "a/3", "b/1"],
            4,
            false,
        ),
        (
            "limit",
            RangeRequest {
                limit: 2,
                ..prefix()
            },
            vec!["a/1", "a/2"],
            3,
            true,
        ),
        (
            "after",
            RangeRequest {
                after: Some("a/2".into()),
                ..prefix()
            },
            vec!["a/3"],
            1,
            false,
        ),
        (
            "count only",
            RangeRequest {
                count_only: true,
                ..prefix()
            },
            vec![],
            3,
            false,
        ),
        (
            "changed since",
            RangeRequest {
                min_mod_revision: Some(Revision(4)),
                ..prefix()
            },
            vec!["a/3"],
            3,
            false,
        ),
        (
            "earlier revision",
            RangeRequest {
                revision: Some(Revision(2)),
                ..prefix()
            },
            vec!["a/1"],
            1,
            false,
        ),
    ];
    for (name, request, keys, count, more) in cases {
        let outcome = client.range(&request).await.expect(name);
        let found: Vec<_> = outcome.kvs.iter().map(|kv| kv.key.as_str()).collect();
        assert_eq!(found, keys, "{name}");
        assert_eq!((outcome.count, outcome.more), (count, more), "{name}");
        assert_eq!(outcome.revision, Revision(5), "{name}");
    }
    let keys_only = RangeRequest {
        keys_only: true,
        ..prefix()
    };
    let outcome = client.range(&keys_only).await.expect("a read");
    assert!(outcome.kvs.iter().all(|kv| kv.value.is_empty()));
}

#[tokio::test]
async fn compares_decide() {
    let (_server, client) = service().await;
    client.commit(&put("k", "one")).await.expect("a write");
    client.commit(&put("k", "two")).await.expect("a write");
    let key = || "k".to_owned();
    let absent = || "none".to_owned();
    let mod_revision = |revision| Compare::ModRevision {
        key: key(),
        revision: Revision(revision),
    };
    let create_revision = |revision| Compare::CreateRevision {
        key: key(),
        revision: Revision(revision),
    };
    let value = |value: &'static str| Compare::Value {
        key: key(),
        value: value.into(),
    };
    let cases = [
        (Compare::Absent { key: absent() }, true),
        (Compare::Absent { key: key() }, false),
        (Compare::Exists { key: key() }, true),
        (Compare::Exists { key: absent() }, false),
        (mod_revision(3), true),
        (mod_revision(2), false),
        (create_revision(2), true),
        (create_revision(3), false),
        (value("two"), true),
        (value("one"), false),
    ];
    for (compare, expected) in cases {
        let txn = Txn {
            compares: vec![compare.clone()],
            ..Txn::default()
        };
        let outcome = client.commit(&txn).await.expect("a transaction");
        assert_eq!(outcome.succeeded, expected, "{compare:?}");
    }
}

#[tokio::test]
async fn branch_is_atomic() {
    let (_server, client) = service().await;
    client.commit(&put("old/1", "x")).await.expect("a write");
    client.commit(&put("old/2", "x")).await.expect("a write");
    let txn = Txn {
        success: vec![
            Op::put("new", "y"),
            Op::DeletePrefix {
                prefix: "old/".into(),
            },
            Op::Delete { key: "none".into() },
            Op::Range(RangeRequest::key("new")),
        ],
        ..Txn::default()
    };
    let outcome = client.commit(&txn).await.expect("a transaction");
    assert_eq!(outcome.revision, Revision(4));
    assert_eq!(outcome.responses[0], OpOutcome::Put);
    assert_eq!(outcome.responses[1], OpOutcome::Delete { deleted: 2 });
    assert_eq!(outcome.responses[2], OpOutcome::Delete { deleted: 0 });
    let OpOutcome::Range(range) = &outcome.responses[3] else {
        panic!("a range was asked for");
    };
    assert_eq!(range.kvs[0].mod_revision, Revision(4));
    assert_eq!(get(&client, "old/1").await, None);
}

#[tokio::test]
async fn pair_history() {
    let (_server, client) = service().await;
    client.commit(&create("k", "one")).await.expect("a write");
    client.commit(&put("k", "two")).await.expect("a write");
    let pair = get(&client, "k").await.expect("the key");
    assert_eq!(text(&pair), "two");
    assert_eq!(pair.create_revision, Revision(2));
    assert_eq!(pair.mod_revision, Revision(3));
    assert_eq!((pair.version, pair.lease), (2, None));
}

#[tokio::test]
async fn refusals_are_final() {
    let (server, client) = service().await;
    client.commit(&put("k", "one")).await.expect("a write");
    client.commit(&put("k", "two")).await.expect("a write");
    server.compact();
    let old = RangeRequest {
        revision: Some(Revision(2)),
        ..RangeRequest::key("k")
    };
    let error = client.range(&old).await.expect_err("it is compacted");
    let expected = StoreError::Rejected(RejectReason::Compacted);
    assert_eq!(*error.current_context(), expected);

    let large = put("large", &"x".repeat(1024 * 1024 + 1));
    let error = client.commit(&large).await.expect_err("it is too large");
    let expected = StoreError::Rejected(RejectReason::TooLarge);
    assert_eq!(*error.current_context(), expected);
    assert_eq!(get(&client, "large").await, None);
}
