//! A node that is told to drain while it serves requests.
//!
//! Guards against cutting open streams, against refusing connections that the load balancer still sends, and against a
//! second signal that does not stop the node.

use std::time::Duration;

use eel_platform::standin::{Behaviour, routes};

use crate::fixture::{events, fleet, wait_until};

/// Longer than the timeout of the routes before they are changed.
const LONGER_THAN_BEFORE: Duration = Duration::from_millis(3_500);

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
async fn requests_without_a_response_at_the_drain_timeout() {
    // The node drains for 8 s. The requests may take longer than that, at a target or in the queue.
    let mut fleet = fleet(1, 1).await;
    let mut table = routes(2);
    for route in table["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 20_000.into();
        route["targetLatencyMs"] = 20_000.into();
    }
    fleet.store.put("op/config", &table.to_string());
    fleet.targets[0].set_default_behaviour(Behaviour::Silent);
    wait_until("the routes are in force", async || {
        let sent = fleet.post(0, "/once/1", "first").send();
        tokio::time::timeout(LONGER_THAN_BEFORE, sent)
            .await
            .is_err()
    })
    .await;
    let paths = ["/once/1", "/idempotent/1", "/once/1", "/idempotent/1"];
    let sent: Vec<_> = (0..)
        .zip(paths)
        .map(|(number, path): (usize, _)| {
            tokio::spawn(fleet.post(0, path, &format!("r{number}")).send())
        })
        .collect();
    wait_until("two requests run", async || {
        fleet.targets[0].open_requests() == 2
    })
    .await;
    let node = fleet.nodes.remove(0);
    node.shutdown.on_signal();
    node.task.await.expect("the node ends");
    for (number, sent) in (0..).zip(sent) {
        // What the node has not sent by now is lost in a process.
        let sent = tokio::time::timeout(Duration::from_secs(1), sent).await;
        let sent = sent.unwrap_or_else(|_| panic!("r{number} is cut"));
        let response = sent.expect("a result").expect("a response");
        let has_run = fleet.targets[0].runs(&format!("r{number}")) > 0;
        let status = if has_run { 502 } else { 503 };
        assert_eq!(response.status(), status, "r{number}");
    }
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
