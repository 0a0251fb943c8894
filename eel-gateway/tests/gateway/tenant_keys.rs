//! The keys of callers, on every route and call.
//!
//! Guards against a request without a valid key that is served, or whose body is waited for; a final 401 from a node that
//! cannot know the key yet; and a revoked key that goes on working on a kept connection, in the queue or while the body
//! arrives.

use std::time::{Duration, Instant};

use eel_platform::standin::{Behaviour, StoreFault};
use reqwest::header::HeaderValue;
use serde_json::json;
use tokio::{join, time::sleep};

use crate::{
    fixture::{Fleet, fleet, start_node, wait_until},
    tenant_fixture::{RawCaller, status, tenant_fleet, tenants},
};

/// The time within which a revoked key must be refused: `configApplyMs` of the operator's bounds.
const CONFIG_APPLY: Duration = Duration::from_secs(3);
/// Longer than a test's revocation takes, and shorter than the timeout of a route.
const PAUSE: Duration = Duration::from_millis(2_500);

#[tokio::test]
async fn invalid_keys() {
    let fleet = tenant_fleet(1, 1).await;
    let long = "k".repeat(257);
    let cases: [&[&[u8]]; 9] = [
        &[],
        &[b""],
        &[b"unknown"],
        &[b"A1"],
        &[b"a1", b"a1"],
        &[b"a1", b"b1"],
        &[b"a1,b1"],
        &[long.as_bytes()],
        &["a1\u{e9}".as_bytes()],
    ];
    for keys in cases {
        let requests = [
            fleet.post(0, "/idempotent/1", "r1"),
            fleet.post(0, "/once-stream/1", "r1"),
            fleet.post(0, "/jobs/submit", "j1"),
            fleet.job_call("GET", 0, "lots/j1?after=0"),
            fleet.job_call("GET", 0, "items/j1?id=j1-0"),
            fleet.job_call("DELETE", 0, "lots/j1"),
        ];
        for mut request in requests {
            for key in keys {
                let value = HeaderValue::from_bytes(key).expect("a value");
                request = request.header("api-key", value);
            }
            let response = request.send().await.expect("a response");
            assert_eq!(response.status(), 401, "{keys:?} {}", response.url());
        }
    }
    assert_eq!(fleet.targets[0].total_runs(), 0);
    for key in ["a1", "a2", "b1"] {
        let request = fleet.post(0, "/idempotent/1", key);
        assert_eq!(status(request, key).await, 200, "{key}");
    }
}

#[tokio::test]
async fn body_is_not_awaited() {
    let fleet = tenant_fleet(1, 1).await;
    for (path, key) in [("/idempotent/1", "Api-Key: no\r\n"), ("/jobs/submit", "")] {
        let mut caller = RawCaller::connect(&fleet, 0).await;
        caller.write(&RawCaller::head(path, "r1", key)).await;
        assert_eq!(caller.status().await, 401, "{path}");
    }
}

#[tokio::test]
async fn routes_without_keys() {
    let fleet = tenant_fleet(1, 1).await;
    for key in ["", "unknown", "a1"] {
        let request = fleet.post(0, "/open/1", "r1");
        assert_eq!(status(request, key).await, 200, "{key}");
    }
    for headers in fleet.targets[0].headers_of("r1") {
        assert!(!headers.contains_key("api-key"));
        assert!(!headers.contains_key("x-eelgrassgap-tenant"));
    }
}

#[tokio::test]
async fn node_without_manifest() {
    let mut fleet: Fleet = fleet(0, 1).await;
    fleet.store.set_fault(StoreFault::Silent);
    let node = start_node(&fleet.store.endpoint(), "node-0", true).await;
    fleet.nodes.push(node);
    for key in ["", "a1"] {
        let online = fleet.post(0, "/idempotent/1", "r1");
        assert_eq!(status(online, key).await, 503, "{key}");
        let call = fleet.job_call("GET", 0, "lots/j1?after=0");
        assert_eq!(status(call, key).await, 503, "{key}");
    }
}

#[tokio::test]
async fn node_without_store() {
    let fleet = tenant_fleet(1, 1).await;
    fleet.store.set_fault(StoreFault::Refuses);
    wait_until("the node no longer trusts its keys", async || {
        let request = fleet.post(0, "/idempotent/1", "r1");
        let response = request.header("api-key", "new").send().await;
        let response = response.expect("a response");
        let is_unavailable = response.status() == 503;
        assert!(is_unavailable || response.status() == 401);
        assert_eq!(
            response.headers().contains_key("retry-after"),
            is_unavailable
        );
        is_unavailable
    })
    .await;
    let cases = [("a1", 200), ("new", 503), ("", 401), ("a 1", 401)];
    for (key, expected) in cases {
        let request = fleet.post(0, "/idempotent/1", "r2");
        assert_eq!(status(request, key).await, expected, "{key}");
    }
    let call = fleet.job_call("GET", 0, "lots/j1?after=0");
    assert_eq!(status(call, "new").await, 503);
}

#[tokio::test]
async fn replaced_keys() {
    let fleet = tenant_fleet(1, 1).await;
    let replaced = json!([
        {"name": "alpha", "apiKeys": ["a2", "a3"]}, {"name": "gamma", "apiKeys": ["a1", "c1"]}
    ]);
    fleet.set_tenants(3, replaced).await;
    // An older version must not bring back a revoked key.
    let mut old = eel_platform::standin::routes(2);
    old["tenants"] = tenants();
    fleet.store.put("op/config", &old.to_string());
    sleep(Duration::from_millis(300)).await;
    let cases = [
        ("a1", Some("gamma")),
        ("a2", Some("alpha")),
        ("a3", Some("alpha")),
        ("c1", Some("gamma")),
        ("b1", None),
    ];
    for (key, tenant) in cases {
        let expected = if tenant.is_some() { 200 } else { 401 };
        let request = fleet.post(0, "/idempotent/1", key);
        assert_eq!(status(request, key).await, expected, "{key}");
        let headers = fleet.targets[0].headers_of(key);
        let sent = headers.first().map(|it| &it["x-eelgrassgap-tenant"]);
        assert_eq!(sent.map(HeaderValue::as_bytes), tenant.map(str::as_bytes));
    }
}

/// Writes a version without the key `a1`.
async fn revoke(fleet: &Fleet) {
    let mut tenants = tenants();
    tenants[0]["apiKeys"] = json!(["a2"]);
    fleet.set_tenants(3, tenants).await;
}

#[tokio::test]
async fn revoked_on_open_connection() {
    let fleet = tenant_fleet(1, 1).await;
    let mut caller = RawCaller::connect(&fleet, 0).await;
    let request = RawCaller::head("/idempotent/1", "r1", "Api-Key: a1\r\n") + "body";
    caller.write(&request).await;
    assert_eq!(caller.status().await, 200);
    // The head and a part of the body of the next request arrive before the revocation.
    let (start, end) = request.split_at(request.len() - 2);
    caller.write(start).await;
    sleep(Duration::from_millis(100)).await;
    let started = Instant::now();
    revoke(&fleet).await;
    assert!(started.elapsed() < CONFIG_APPLY);
    caller.write(end).await;
    assert_eq!(caller.status().await, 401);
    caller.write(&request).await;
    assert_eq!(caller.status().await, 401);
    assert_eq!(fleet.targets[0].total_runs(), 1);
}

#[tokio::test]
async fn revoked_in_queue() {
    let fleet = tenant_fleet(1, 1).await;
    let target = &fleet.targets[0];
    target.set_default_behaviour(Behaviour::PausesBeforeHead(PAUSE));
    let send = |id, key| status(fleet.post(0, "/once/1", id), key);
    let waiting = async |id, key| {
        wait_until("the slots are taken", async || target.open_requests() == 2).await;
        let started = Instant::now();
        (send(id, key).await, started.elapsed())
    };
    let revocation = async {
        wait_until("the slots are taken", async || target.open_requests() == 2).await;
        sleep(Duration::from_millis(200)).await;
        revoke(&fleet).await;
    };
    let (first, second, revoked, kept, ()) = join!(
        send("r1", "a1"),
        send("r2", "a1"),
        waiting("r3", "a1"),
        waiting("r4", "a2"),
        revocation
    );
    assert_eq!(
        (first, second),
        (200, 200),
        "requests that have begun go on"
    );
    assert_eq!(revoked.0, 401);
    assert!(revoked.1 < PAUSE, "refused after {:?}", revoked.1);
    assert_ne!(kept.0, 401);
    assert_eq!(fleet.runs("r3"), 0);
}

#[tokio::test]
async fn revoked_while_targets_refuse() {
    let fleet = tenant_fleet(1, 1).await;
    let target = &fleet.targets[0];
    // Leaves time between the refusals.
    target.set_limits(&["2"]);
    let stream = |id| fleet.post(0, "/resumable-stream/1", id);
    assert_eq!(status(stream("r1"), "a1").await, 200);
    target.set_default_behaviour(Behaviour::Full);
    // A resumed stream waits for a target that is full.
    let resumed = stream("r2").header("resumes", "r1");
    let resumed = status(resumed.header("last-event-id", "2"), "a1");
    let revocation = async {
        wait_until("a target has refused", async || {
            !target.headers_of("r2").is_empty()
        })
        .await;
        revoke(&fleet).await;
    };
    let (refused, ()) = join!(resumed, revocation);
    assert_eq!(refused, 401);
    assert_eq!(fleet.runs("r2"), 0);
}
