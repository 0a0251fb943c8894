//! The cases of the contract. Each takes a client of an empty service.

use std::time::Duration;

use bytes::Bytes;
use eel_store::{
    Compare, KeyValue, KeyValuePair, LeaseId, Op, RangeRequest, RejectReason, StoreError, Txn,
    WatchEvent, WatchOptions,
};
use eel_types::Revision;
use futures_util::StreamExt as _;

const LEASE_NOT_FOUND: StoreError = StoreError::Rejected(RejectReason::LeaseNotFound);

fn put(key: &str, value: &str) -> Txn {
    write_if(Vec::new(), vec![Op::put(key, value.to_owned())])
}

fn write_if(compares: Vec<Compare>, success: Vec<Op>) -> Txn {
    Txn {
        compares,
        success,
        failure: Vec::new(),
    }
}

fn put_with_lease(key: &str, lease: LeaseId) -> Txn {
    let op = Op::Put {
        key: key.into(),
        value: "held".into(),
        lease: Some(lease),
    };
    write_if(Vec::new(), vec![op])
}

/// Commits a transaction; returns whether its comparisons succeeded, and the revision.
async fn commit<S: KeyValue>(client: &S, txn: &Txn) -> (bool, Revision) {
    let outcome = client.commit(txn).await.expect("an outcome");
    (outcome.succeeded, outcome.revision)
}

async fn get<S: KeyValue>(client: &S, key: &str) -> Option<KeyValuePair> {
    let outcome = client.range(&RangeRequest::key(key)).await.expect("a read");
    outcome.kvs.into_iter().next()
}

async fn keys<S: KeyValue>(client: &S, prefix: &str) -> Vec<String> {
    let outcome = client.range(&RangeRequest::prefix(prefix)).await;
    let pairs = outcome.expect("a read").kvs.into_iter();
    pairs.map(|pair| pair.key).collect()
}

/// Returns the next `count` changes as text: `key=value` for a put, `-key` for a deletion.
async fn changes<S: KeyValue>(watch: &mut S::Watch, count: usize) -> Vec<String> {
    let mut changes = Vec::new();
    while changes.len() < count {
        match watch.next().await.expect("an event") {
            WatchEvent::Put(pair) => {
                let value = String::from_utf8_lossy(&pair.value).into_owned();
                changes.push(format!("{}={value}", pair.key));
            }
            WatchEvent::Delete { key, .. } => changes.push(format!("-{key}")),
            WatchEvent::Progress { .. } => {}
            WatchEvent::Compacted { .. } => panic!("nothing was compacted"),
        }
    }
    changes
}

pub async fn compares_decide<S: KeyValue>(client: &S) {
    let (_, revision) = commit(client, &put("k", "1")).await;
    let key = || "k".to_owned();
    let cases = [
        (Compare::Absent { key: key() }, false),
        (
            Compare::Absent {
                key: "other".into(),
            },
            true,
        ),
        (
            Compare::ModRevision {
                key: key(),
                revision,
            },
            true,
        ),
        (
            Compare::ModRevision {
                key: key(),
                revision: Revision(revision.0 + 1),
            },
            false,
        ),
    ];
    for (number, (compare, holds)) in cases.into_iter().enumerate() {
        let written = format!("written-{number}");
        let txn = write_if(vec![compare.clone()], vec![Op::put(&*written, "x")]);
        assert_eq!(commit(client, &txn).await.0, holds, "{compare:?}");
        assert_eq!(get(client, &written).await.is_some(), holds, "{compare:?}");
    }
}

pub async fn branch_is_atomic<S: KeyValue>(client: &S) {
    let first = Compare::Absent { key: "a".into() };
    let ops = vec![Op::put("a", "1"), Op::put("b", "1")];
    let (_, revision) = commit(client, &write_if(vec![first.clone()], ops)).await;
    for key in ["a", "b"] {
        let pair = get(client, key).await.expect("a pair");
        assert_eq!(pair.mod_revision, revision, "{key} in the same revision");
    }
    let absent = Compare::Absent { key: "c".into() };
    let ops = vec![Op::put("c", "1"), Op::Delete { key: "b".into() }];
    let txn = write_if(vec![absent, first], ops);
    assert!(!commit(client, &txn).await.0, "one condition fails");
    assert_eq!(keys(client, "").await, ["a", "b"]);
    let removal = write_if(Vec::new(), vec![Op::Delete { key: "a".into() }]);
    assert!(commit(client, &removal).await.0);
    assert_eq!(keys(client, "").await, ["b"]);
}

pub async fn pair_history<S: KeyValue>(client: &S) {
    let (_, created) = commit(client, &put("k", "1")).await;
    commit(client, &put("other", "1")).await;
    let (_, changed) = commit(client, &put("k", "2")).await;
    assert!(changed > created);
    let pair = get(client, "k").await.expect("a pair");
    assert_eq!(&pair.value[..], b"2");
    assert_eq!(pair.mod_revision, changed);
    assert_eq!(pair.lease, None);
}

pub async fn ranges_select<S: KeyValue>(client: &S) {
    for key in ["a", "a/1", "a/2", "a0", "b/1"] {
        commit(client, &put(key, "x")).await;
    }
    assert_eq!(keys(client, "a/").await, ["a/1", "a/2"]);
    assert_eq!(keys(client, "a").await, ["a", "a/1", "a/2", "a0"]);
    assert_eq!(keys(client, "c").await, [""; 0]);
    assert_eq!(get(client, "a/").await, None, "a key is not a prefix");
}

pub async fn long_ranges<S: KeyValue>(client: &S) {
    const PAIRS: usize = 130;
    for number in 0..PAIRS {
        commit(client, &put(&format!("k/{number:03}"), "v")).await;
    }
    let expected: Vec<_> = (0..PAIRS).map(|number| format!("k/{number:03}")).collect();
    assert_eq!(keys(client, "k/").await, expected);
}

pub async fn keys_go_with_lease<S: KeyValue>(client: &S) {
    let lease = client.grant_lease(60_000).await.expect("a lease");
    assert_eq!(lease.ttl_ms, 60_000);
    commit(client, &put_with_lease("k", lease.id)).await;
    assert_eq!(
        get(client, "k").await.expect("a pair").lease,
        Some(lease.id)
    );
    let extended = client.keep_alive(lease.id).await.expect("an extension");
    assert_eq!(extended, lease);
    client.revoke(lease.id).await.expect("a revocation");
    assert_eq!(get(client, "k").await, None);
    let error = client
        .keep_alive(lease.id)
        .await
        .expect_err("the lease is revoked");
    assert_eq!(*error.current_context(), LEASE_NOT_FOUND);
    let late = client.commit(&put_with_lease("late", lease.id)).await;
    assert_eq!(
        *late.expect_err("the lease is revoked").current_context(),
        LEASE_NOT_FOUND
    );
    assert_eq!(get(client, "late").await, None);
}

pub async fn lease_expires<S: KeyValue>(client: &S) {
    let lease = client.grant_lease(1_000).await.expect("a lease");
    commit(client, &put_with_lease("k", lease.id)).await;
    while get(client, "k").await.is_some() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let error = client
        .keep_alive(lease.id)
        .await
        .expect_err("the lease has expired");
    assert_eq!(*error.current_context(), LEASE_NOT_FOUND);
}

pub async fn oversized_value<S: KeyValue>(client: &S) {
    let value = Bytes::from(vec![b'x'; 3 << 20]);
    let txn = write_if(Vec::new(), vec![Op::put("k", value)]);
    let error = client
        .commit(&txn)
        .await
        .expect_err("the value is too large");
    let rejected = matches!(error.current_context(), StoreError::Rejected(_));
    assert!(rejected, "{error:?}");
    assert_eq!(get(client, "k").await, None);
}

pub async fn operations_of_a_transaction<S: KeyValue>(client: &S) {
    let ops = |count: usize| (0..count).map(|number| Op::put(format!("k/{number:02}"), "x"));
    let largest = write_if(Vec::new(), ops(32).collect());
    assert!(commit(client, &largest).await.0);
    assert_eq!(keys(client, "k/").await.len(), 32);
    let longer = write_if(Vec::new(), ops(200).collect());
    let error = client
        .commit(&longer)
        .await
        .expect_err("too many operations");
    let rejected = matches!(error.current_context(), StoreError::Rejected(_));
    assert!(rejected, "{error:?}");
    assert_eq!(keys(client, "k/").await.len(), 32);
}

pub async fn watch_from_a_read<S: KeyValue>(client: &S) {
    commit(client, &put("k/1", "old")).await;
    let read = client.range(&RangeRequest::prefix("")).await;
    let read = read.expect("a read").revision;
    commit(client, &put("k/2", "before the watch")).await;
    let mut watch = client.watch(WatchOptions {
        prefix: String::new(),
        from_revision: Some(Revision(read.0 + 1)),
    });
    assert_eq!(
        changes::<S>(&mut watch, 1).await,
        ["k/2=before the watch"],
        "changes up to the read are not sent"
    );
    commit(client, &put("k/2", "after")).await;
    let removal = write_if(Vec::new(), vec![Op::Delete { key: "k/1".into() }]);
    commit(client, &removal).await;
    assert_eq!(changes::<S>(&mut watch, 2).await, ["k/2=after", "-k/1"]);
}

pub async fn watch_of_a_prefix<S: KeyValue>(client: &S) {
    let mut watch = client.watch(WatchOptions {
        prefix: "k/".into(),
        from_revision: Some(Revision(1)),
    });
    commit(client, &put("other", "1")).await;
    let both = vec![Op::put("k/1", "1"), Op::put("other", "2")];
    commit(client, &write_if(Vec::new(), both)).await;
    commit(client, &put("k/2", "2")).await;
    assert_eq!(changes::<S>(&mut watch, 2).await, ["k/1=1", "k/2=2"]);
}
