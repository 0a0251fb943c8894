//! A node that is told to drain while it serves requests.
//!
//! Guards against cutting open streams, against refusing connections that the load balancer still sends, and against a
//! second signal that does not stop the node.

use std::time::Duration;

use crate::fixture::{events, fleet, wait_until};

#[tokio::test]
async fn open_requests_are_completed() {
    let mut fleet = fleet(1, 1).await;
    let stream = fleet
        .post(0, "/once-stream/1", "r1")
        .send()
        .await
        .expect("a response");
    fleet.nodes[0].shutdown.on_signal();
    wait_until("the node is not ready", async || !fleet.is_ready(0).await).await;
    assert_eq!(events(stream).await, (vec![1, 2, 3, 4, 5], true));
    let late = fleet
        .post(0, "/once/1", "r2")
        .send()
        .await
        .expect("a response");
    assert_eq!(
        late.status().as_u16(),
        200,
        "the load balancer still sends connections"
    );
    assert_eq!(late.headers()["connection"], "close");
    let node = fleet.nodes.remove(0);
    node.task.await.expect("the node ends");
    let refused = reqwest::get(format!("http://{}/", node.http)).await;
    assert!(refused.expect_err("no connection").is_connect());
}

#[tokio::test]
async fn second_signal() {
    let mut fleet = fleet(1, 1).await;
    let node = fleet.nodes.remove(0);
    node.shutdown.on_signal();
    node.shutdown.on_signal();
    let ended = tokio::time::timeout(Duration::from_secs(30), node.task).await;
    ended
        .expect("the node stops in time")
        .expect("the node ends");
}
