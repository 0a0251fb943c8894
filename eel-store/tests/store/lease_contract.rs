//! Guards against keys that outlive their lease, and against a holder that can still extend its lease or write under it
//! after it was revoked, lost or expired.

use std::time::Duration;

use eel_store::{KeyValue as _, LeaseId, Op, RejectReason, StoreError, Txn};

use crate::fixture::{get, service};

const GONE: StoreError = StoreError::Rejected(RejectReason::LeaseNotFound);

fn attached(key: &str, lease: LeaseId) -> Txn {
    Txn {
        success: vec![Op::Put {
            key: key.into(),
            value: "held".into(),
            lease: Some(lease),
        }],
        ..Txn::default()
    }
}

#[tokio::test]
async fn keys_go_with_lease() {
    let (server, client) = service().await;
    for loss in ["revoked", "lost"] {
        let lease = client.grant_lease(60_000).await.expect("a lease");
        assert_eq!(lease.ttl_ms, 60_000);
        client
            .commit(&attached(loss, lease.id))
            .await
            .expect("a write");
        let extended = client.keep_alive(lease.id).await.expect("an extension");
        assert_eq!(extended, lease);
        let held = get(&client, loss).await.expect("the key");
        assert_eq!(held.lease, Some(lease.id));
        if loss == "revoked" {
            client.revoke(lease.id).await.expect("a revocation");
        } else {
            server.revoke_leases();
        }
        assert_eq!(get(&client, loss).await, None, "{loss}");
        let error = client.keep_alive(lease.id).await.expect_err(loss);
        assert_eq!(*error.current_context(), GONE, "{loss}");
        let error = client.revoke(lease.id).await.expect_err(loss);
        assert_eq!(*error.current_context(), GONE, "{loss}");
        let late = client.commit(&attached("late", lease.id)).await;
        assert_eq!(*late.expect_err(loss).current_context(), GONE, "{loss}");
        assert_eq!(get(&client, "late").await, None, "{loss}");
    }
}

#[tokio::test]
async fn lease_expires() {
    let (_server, client) = service().await;
    let lease = client.grant_lease(1).await.expect("a lease");
    assert_eq!(lease.ttl_ms, 1000, "rounded up to the service's unit");
    let txn = attached("k", lease.id);
    client.commit(&txn).await.expect("a write");
    while get(&client, "k").await.is_some() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let error = client.keep_alive(lease.id).await.expect_err("it expired");
    assert_eq!(*error.current_context(), GONE);
}
