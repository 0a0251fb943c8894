//! Requests that a node refuses without sending them to a target.
//!
//! Guards against an invalid request that reaches a target, and against a final 404 for a route that may exist, which
//! happens when a node answers from stale routes while the store is unreachable, or before it has read any.

use eel_platform::standin::StoreFault;

use crate::fixture::{Fleet, fleet, start_node, wait_until};

#[tokio::test]
async fn unknown_route() {
    let fleet = fleet(1, 1).await;
    for path in ["/", "/idempotent", "/other/1"] {
        let response = fleet.post(0, path, "r1").send().await.expect("a response");
        assert_eq!(response.status().as_u16(), 404, "{path}");
    }
    let url = format!("http://{}/idempotent/1", fleet.nodes[0].http);
    let other_host = fleet
        .client
        .post(url)
        .header("host", "b.example")
        .send()
        .await;
    assert_eq!(other_host.expect("a response").status().as_u16(), 404);
}

#[tokio::test]
async fn two_hosts() {
    let fleet = fleet(1, 1).await;
    let response = fleet
        .post(0, "/idempotent/1", "r1")
        .header("host", "b.example")
        .send()
        .await;
    assert_eq!(response.expect("a response").status().as_u16(), 400);
    assert_eq!(fleet.targets[0].total_runs(), 0);
}

#[tokio::test]
async fn unknown_route_with_stale_routes() {
    let fleet = fleet(1, 1).await;
    fleet.store.set_fault(StoreFault::Refuses);
    wait_until(
        "the node detects that the store is unreachable",
        async || {
            let response = fleet
                .post(0, "/other/1", "r1")
                .send()
                .await
                .expect("a response");
            response.status().as_u16() == 503 && response.headers().contains_key("retry-after")
        },
    )
    .await;
    let response = fleet
        .post(0, "/idempotent/1", "r2")
        .send()
        .await
        .expect("a response");
    assert_eq!(
        response.status().as_u16(),
        200,
        "known routes are still served"
    );
}

#[tokio::test]
async fn node_without_routes() {
    let mut fleet: Fleet = fleet(0, 1).await;
    fleet.store.set_fault(StoreFault::Silent);
    let node = start_node(&fleet.store.endpoint(), "node-0", true).await;
    fleet.nodes.push(node);
    assert!(!fleet.is_ready(0).await);
    let response = fleet
        .post(0, "/idempotent/1", "r1")
        .send()
        .await
        .expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert!(response.headers().contains_key("retry-after"));
    fleet.store.set_fault(StoreFault::None);
    wait_until("the node is ready", async || fleet.is_ready(0).await).await;
}

#[tokio::test]
async fn bad_bodies() {
    let fleet = fleet(1, 1).await;
    let large = fleet
        .post(0, "/idempotent/1", "r1")
        .body("x".repeat(100_001))
        .send()
        .await;
    assert_eq!(large.expect("a response").status().as_u16(), 413);
    let no_job = fleet.post(0, "/jobs/1", "j1").body("{}").send().await;
    assert_eq!(no_job.expect("a response").status().as_u16(), 400);
    assert_eq!(fleet.targets[0].total_runs(), 0);
}
