//! Jobs of tenants.
//!
//! Guards against a job that another tenant reads or ends, one that its own tenant cannot reach with another key or at
//! another node, and a job that is lost with the key that submitted it or because it was stored without a tenant.

use eel_ledger::JobHead;
use eel_platform::standin::{Behaviour, HOST};
use serde_json::json;

use crate::{
    fixture::{Fleet, fleet, stored_item, wait_until},
    tenant_fixture::{status, tenant_fleet, tenants},
    tenant_header::assert_tenant,
};

/// Submits a job with one item, whose id is that of the job and `-0`; returns the status.
async fn submit(fleet: &Fleet, node: usize, id: &str, key: &str) -> u16 {
    let item = json!({"id": format!("{id}-0"), "path": "/jobs/stream/1", "body": "cQ=="});
    let body = json!({"items": [item]}).to_string();
    status(fleet.post(node, "/jobs/submit", id).body(body), key).await
}

/// Waits until the job has its result, which is read with `key`.
async fn wait_for_result(fleet: &Fleet, node: usize, id: &str, key: &str) {
    wait_until("the result is listed", async || {
        let call = fleet.job_call("GET", node, &format!("lots/{id}?after=0"));
        let response = call.header("api-key", key).send().await;
        let response = response.expect("a response");
        assert_eq!(response.status(), 200, "{id}");
        let text = response.text().await.expect("a text");
        text.contains("word5")
    })
    .await;
}

#[tokio::test]
async fn owner_and_others() {
    let fleet = tenant_fleet(2, 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    assert_eq!(submit(&fleet, 0, "j1", "a1").await, 202);
    let calls = [
        ("GET", "lots/j1?after=0"),
        ("GET", "items/j1?id=j1-0"),
        ("DELETE", "lots/j1"),
    ];
    for node in 0..2 {
        for (key, expected) in [("b1", 404), ("", 401), ("unknown", 401)] {
            for (method, path) in calls {
                let call = fleet.job_call(method, node, path);
                assert_eq!(status(call, key).await, expected, "{method} {path} {key}");
            }
            let submitted = submit(&fleet, node, "j1", key).await;
            assert_eq!(submitted, expected, "submission with {key}");
        }
        for key in ["a1", "a2"] {
            assert_eq!(submit(&fleet, node, "j1", key).await, 202);
            for (method, path) in &calls[..2] {
                let call = fleet.job_call(method, node, path);
                assert_eq!(status(call, key).await, 200, "{method} {path} {key}");
            }
        }
    }
    let end = fleet.job_call("DELETE", 1, "lots/j1");
    assert_eq!(status(end, "a2").await, 200);
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    assert_eq!(submit(&fleet, 1, "j2", "b1").await, 202);
    wait_for_result(&fleet, 0, "j2", "b1").await;
    assert_tenant(&fleet, "j2-0", Some("beta"), 1);
    assert_eq!(fleet.runs("j1-0"), 0);
}

#[tokio::test]
async fn revoked_key() {
    let mut fleet = tenant_fleet(1, 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    assert_eq!(submit(&fleet, 0, "j1", "a1").await, 202);
    let mut tenants = tenants();
    tenants[0]["apiKeys"] = json!(["a2"]);
    fleet.set_tenants(3, tenants).await;
    // The new nodes have the tenant's name from the job alone.
    fleet.replace_nodes().await;
    let call = fleet.job_call("GET", 0, "lots/j1?after=0");
    assert_eq!(status(call, "a1").await, 401);
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    wait_for_result(&fleet, 0, "j1", "a2").await;
    let headers = fleet.targets[0].headers_of("j1-0");
    assert!(
        headers
            .iter()
            .all(|it| it["x-eelgrassgap-tenant"] == "alpha")
    );
}

#[tokio::test]
async fn revoked_while_results_are_awaited() {
    let fleet = tenant_fleet(1, 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    assert_eq!(submit(&fleet, 0, "j1", "a1").await, 202);
    let call = fleet.job_call("GET", 0, "lots/j1?after=0");
    let call = status(call.header("x-eelgrassgap-wait-ms", "1000"), "a1");
    let (refused, ()) = tokio::join!(call, async {
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        fleet.set_tenants(3, json!([])).await;
    });
    assert_eq!(refused, 401);
}

#[tokio::test]
async fn stored_before_tenants() {
    let fleet = fleet(2, 1).await;
    assert_eq!(submit(&fleet, 0, "j1", "").await, 202);
    fleet.set_tenants(2, tenants()).await;
    for (node, key) in [(0, "a1"), (1, "b1")] {
        wait_for_result(&fleet, node, "j1", key).await;
    }
    let call = fleet.job_call("GET", 0, "lots/j1?after=0");
    assert_eq!(status(call, "").await, 401);
    assert_tenant(&fleet, "j1-0", None, 1);
}

#[tokio::test]
async fn stored_headers() {
    let fleet = tenant_fleet(1, 1).await;
    let head = JobHead {
        host: HOST.into(),
        submitted_unix_ms: 0,
        due_unix_ms: u64::MAX / 2,
        give_up_unix_ms: u64::MAX / 2,
        max_attempts: 1,
        items: 0,
        parts: 0,
        tenant: None,
    };
    let headers = [("X-Eelgrassgap-Tenant", "beta"), ("Api-Key", "b1")];
    let item = stored_item("j1", &headers);
    fleet.store_job("j1", head, &[item]).await;
    wait_for_result(&fleet, 0, "j1", "a1").await;
    assert_tenant(&fleet, "j1-0", None, 1);
}
