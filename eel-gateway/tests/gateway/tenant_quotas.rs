//! Quotas of tenants over several nodes.
//!
//! Guards against nodes that admit more together than a tenant's quota, against a tenant that is refused because of another
//! one, against refused requests that reach a target, and against requests that do not run but use up the quota.

use std::time::Instant;

use eel_platform::standin::{Behaviour, routes};
use futures_util::future::join_all;
use serde_json::json;

use crate::fixture::{Fleet, fleet, wait_until};

const LIMITED_KEY: &str = "limited-key";
const OTHER_KEY: &str = "other-key";
const RATE_PER_S: f64 = 2.0;
const BURST: f64 = 4.0;
const NODES: usize = 3;
/// The number of requests that are sent at once, far beyond the bound.
const REQUESTS: usize = 150;

async fn fleet_with_quota(nodes: usize) -> Fleet {
    let fleet = fleet(nodes, 2).await;
    let mut manifest = routes(2);
    manifest["tenants"] = json!([
        {"name": "limited", "apiKeys": [LIMITED_KEY], "ratePerS": RATE_PER_S, "burst": BURST},
        {"name": "other", "apiKeys": [OTHER_KEY]},
    ]);
    fleet.store.put("op/config", &manifest.to_string());
    for node in 0..nodes {
        wait_until("the quota is known", async || {
            send(&fleet, node, OTHER_KEY, "known").await.0 == 200
                && send(&fleet, node, "no-key", "unknown").await.0 == 401
        })
        .await;
    }
    fleet
}

/// Sends a request; returns the status, and whether the response says when to retry.
async fn send(fleet: &Fleet, node: usize, key: &str, id: &str) -> (u16, bool) {
    let request = fleet.post(node, "/idempotent/1", id).header("api-key", key);
    let response = request.send().await.expect("a response");
    let status = response.status().as_u16();
    (status, response.headers().contains_key("retry-after"))
}

#[tokio::test]
async fn requests_beyond_the_quota() {
    let fleet = fleet_with_quota(NODES).await;
    wait_until("a token is there", async || {
        send(&fleet, 0, LIMITED_KEY, "first").await.0 == 200
    })
    .await;
    let started = Instant::now();
    let sent = (0..REQUESTS).map(async |number| {
        let id = format!("r{number}");
        let (status, has_retry) = send(&fleet, number % NODES, LIMITED_KEY, &id).await;
        (id, status, has_retry)
    });
    let responses = join_all(sent).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let mut served = 0.0;
    for (id, status, has_retry) in &responses {
        match status {
            200 => served += 1.0,
            429 => {
                assert!(has_retry, "{id}");
                assert_eq!(fleet.runs(id), 0, "{id}");
            }
            status => panic!("{id}: status {status}"),
        }
    }
    // The stated bound, for the time that passed.
    let allowed = (RATE_PER_S * elapsed_s.max(5.0) + BURST) * 1.1 + 20.0;
    assert!(served <= allowed, "{served} served, {allowed} allowed");
    for node in 0..NODES {
        let id = format!("other-{node}");
        assert_eq!(send(&fleet, node, OTHER_KEY, &id).await.0, 200, "{id}");
    }
}

#[tokio::test]
async fn tokens_of_requests_that_do_not_run() {
    let fleet = fleet_with_quota(1).await;
    for target in &fleet.targets {
        target.set_default_behaviour(Behaviour::Full);
    }
    wait_until("a token is there", async || {
        send(&fleet, 0, LIMITED_KEY, "first").await.0 != 429
    })
    .await;
    for number in 0..3 * 16 {
        let id = format!("r{number}");
        let (status, _) = send(&fleet, 0, LIMITED_KEY, &id).await;
        assert_ne!(status, 429, "{id}");
        assert_eq!(fleet.runs(&id), 0, "{id}");
    }
}

#[tokio::test]
async fn submissions_need_no_token() {
    let fleet = fleet_with_quota(1).await;
    for number in 0..3 * 16 {
        let id = format!("j{number}");
        let item = json!({"items": [{"id": id, "path": "/jobs/1", "body": "cQ=="}]});
        let request = fleet.post(0, "/jobs/submit", &id);
        let request = request
            .header("api-key", LIMITED_KEY)
            .body(item.to_string());
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), 202, "{id}");
    }
}
