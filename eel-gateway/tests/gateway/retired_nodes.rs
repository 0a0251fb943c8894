//! Nodes that the operator retires, one after the other.
//!
//! Guards against accepted jobs that no node runs any more because the last one that runs items has left.

use crate::fixture::{Fleet, fleet, wait_until};

/// Starts two nodes that run items, and waits until both are listed.
async fn listed_fleet() -> Fleet {
    let fleet = fleet(2, 1).await;
    wait_until("the nodes are listed", async || {
        fleet.store.keys("eelgrassgap/nodes/").len() == 2
    })
    .await;
    fleet
}

/// Submits a job and checks that its item is completed.
async fn assert_runs(fleet: &Fleet, job: &str) {
    assert_eq!(fleet.submit(0, job, &["stream/1"]).await, 202);
    let results = fleet.results(0, job, 1).await;
    assert_eq!(results[0]["state"], "completed", "{job}");
}

fn retire(fleet: &Fleet, node: &str) {
    let request = r#"{"rampS": 1}"#;
    fleet.store.put(&format!("op/retire/{node}"), request);
}

fn is_empty(fleet: &Fleet, node: &str) -> bool {
    let status = format!("status/retire/{node}");
    fleet.store.keys("status/retire/").contains(&status)
}

#[tokio::test]
async fn last_batch_node_stays() {
    let mut fleet = listed_fleet().await;
    retire(&fleet, "node-0");
    wait_until("a node is empty", async || is_empty(&fleet, "node-0")).await;
    retire(&fleet, "node-1");
    for number in 0..3 {
        assert_runs(&fleet, &format!("j{number}")).await;
        assert!(!is_empty(&fleet, "node-1"));
    }
    fleet.add_node("node-2", true).await;
    wait_until("the other one is empty", async || {
        is_empty(&fleet, "node-1")
    })
    .await;
    assert_runs(&fleet, "later").await;
}

#[tokio::test]
async fn all_at_once() {
    let fleet = listed_fleet().await;
    retire(&fleet, "node-0");
    retire(&fleet, "node-1");
    for number in 0..3 {
        assert_runs(&fleet, &format!("j{number}")).await;
    }
    assert!(!is_empty(&fleet, "node-0") && !is_empty(&fleet, "node-1"));
}
