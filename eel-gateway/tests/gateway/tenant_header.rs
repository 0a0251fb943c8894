//! The tenant's name in requests to targets.
//!
//! Guards against a caller that names the tenant itself, and against a key that reaches a target, in first attempts,
//! retries, resumed streams and items.

use eel_platform::standin::Behaviour;
use serde_json::json;

use crate::{
    fixture::{Fleet, events},
    tenant_fixture::{RawCaller, tenant_fleet},
};

/// Checks all attempts of a request at the targets, of which there must be at least `attempts`: two nodes may run an item
/// until they know of each other.
pub fn assert_tenant(fleet: &Fleet, id: &str, tenant: Option<&str>, attempts: usize) {
    let targets = fleet.targets.iter();
    let all: Vec<_> = targets.flat_map(|it| it.headers_of(id)).collect();
    assert!(all.len() >= attempts, "{id}: {}", all.len());
    for headers in all {
        let sent: Vec<_> = headers.get_all("x-eelgrassgap-tenant").iter().collect();
        let expected: Vec<&str> = tenant.into_iter().collect();
        assert_eq!(sent, expected, "{id}");
        assert!(!headers.contains_key("api-key"), "{id}");
    }
}

#[tokio::test]
async fn forged_names() {
    let fleet = tenant_fleet(1, 1).await;
    let forged = [
        "",
        "X-Eelgrassgap-Tenant: beta\r\n",
        "x-eelgrassgap-tenant: beta\r\nX-EELGRASSGAP-TENANT: alpha\r\n",
        "X-Eelgrassgap-Tenant:\r\n",
        "Connection: x-eelgrassgap-tenant\r\n",
        "Connection: keep-alive, X-Eelgrassgap-Tenant, Api-Key\r\nX-Eelgrassgap-Tenant: beta\r\n",
        "Connection: api-key\r\n",
    ];
    let callers = [
        ("/idempotent/1", "API-KEY: a1\r\n", Some("alpha")),
        ("/open/1", "aPi-kEy: a1\r\n", None),
        ("/open/1", "Api-Key: x\r\nApi-Key: y\r\n", None),
        ("/open/1", "", None),
    ];
    for (number, headers) in forged.iter().enumerate() {
        for (path, key, tenant) in callers {
            let id = format!("r{number}-{path}-{key}");
            let id = id.replace("\r\n", "");
            let mut caller = RawCaller::connect(&fleet, 0).await;
            let head = RawCaller::head(path, &id, &format!("{headers}{key}"));
            caller.write(&(head + "body")).await;
            assert_eq!(caller.status().await, 200, "{headers}{key}");
            assert_tenant(&fleet, &id, tenant, 1);
        }
    }
}

#[tokio::test]
async fn forged_name_without_tenants() {
    let fleet = crate::fixture::fleet(1, 1).await;
    let request = fleet.post(0, "/idempotent/1", "r1");
    let request = request.header("x-eelgrassgap-tenant", "beta");
    let response = request.header("api-key", "a1").send().await;
    assert_eq!(response.expect("a response").status(), 200);
    assert_tenant(&fleet, "r1", None, 1);
}

#[tokio::test]
async fn further_attempts() {
    let fleet = tenant_fleet(1, 2).await;
    let cases = [
        ("/idempotent/1", Behaviour::Fails),
        ("/once/1", Behaviour::Full),
        ("/resumable-stream/1", Behaviour::DisconnectsAfter(2)),
    ];
    for (path, first) in cases {
        fleet.targets[0].share_script(&fleet.targets[1], &[first]);
        let request = fleet.post(0, path, path).header("api-key", "a2");
        let request = request.header("x-eelgrassgap-tenant", "beta");
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), 200, "{path}");
        let (_, is_whole) = events(response).await;
        assert!(is_whole, "{path}");
        assert_tenant(&fleet, path, Some("alpha"), 2);
    }
}

#[tokio::test]
async fn stream_resumed_by_caller() {
    let fleet = tenant_fleet(1, 1).await;
    let stream = |id| {
        let request = fleet.post(0, "/resumable-stream/1", id);
        request.header("api-key", "b1")
    };
    let first = stream("r1").send().await.expect("a response");
    assert!(events(first).await.1);
    let resumed = stream("r2").header("resumes", "r1");
    let resumed = resumed.header("last-event-id", "2").send().await;
    let resumed = resumed.expect("a response");
    assert_eq!(events(resumed).await, (vec![3, 4, 5], true));
    assert_tenant(&fleet, "r2", Some("beta"), 1);
}

#[tokio::test]
async fn items() {
    let fleet = tenant_fleet(1, 1).await;
    let items = json!({"items": [{
        "id": "j1-0", "path": "/jobs/1", "body": "cQ==",
        "headers": {"x-eelgrassgap-TENANT": "beta", "API-Key": "b1", "connection": "x-eelgrassgap-tenant"}
    }]});
    let request = fleet.post(0, "/jobs/submit", "j1").header("api-key", "a1");
    let response = request.body(items.to_string()).send().await;
    assert_eq!(response.expect("a response").status(), 202);
    crate::fixture::wait_until("the item runs", async || fleet.runs("j1-0") > 0).await;
    assert_tenant(&fleet, "j1-0", Some("alpha"), 1);
}
