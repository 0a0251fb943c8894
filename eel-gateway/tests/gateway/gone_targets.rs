//! Targets whose entries are removed around failed calls to the store.
//!
//! Guards against a target that is used for too long after it has left, because a failed call of one node is taken for an
//! outage of the store, and against a sound target that is dropped because its lease ran out in a real one.

use std::time::Duration;

use eel_platform::standin::{StoreEntrance, StoreFault};
use tokio::time::{Instant, sleep, sleep_until};

use crate::fixture::{Fleet, fleet, start_node, wait_until};

/// The time from the end of a disturbance until a node must act on what the store says.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How long requests may still reach a target after its removal.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The time in which nodes learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long an outage has to last before the leases of targets run out.
const OUTAGE: Duration = Duration::from_millis(3_600);
const REQUESTS: usize = 20;

async fn status(fleet: &Fleet, node: usize, number: usize) -> u16 {
    let request = fleet.post(node, "/idempotent/1", &format!("r{node}-{number}"));
    let response = request.send().await.expect("a response");
    response.status().as_u16()
}

/// Sends requests to all nodes and checks that all are served, and none by the target `gone`.
async fn assert_unused(fleet: &Fleet, gone: usize, name: &str) {
    let before = fleet.targets[gone].total_runs();
    for number in 0..REQUESTS {
        for node in 0..fleet.nodes.len() {
            assert_eq!(status(fleet, node, number).await, 200, "{name}");
        }
    }
    assert_eq!(fleet.targets[gone].total_runs(), before, "{name}");
}

/// Starts two targets and two nodes, of which the second one reaches the store by an entrance of its own.
async fn fleet_with_entrance() -> (Fleet, StoreEntrance) {
    let mut fleet = fleet(1, 2).await;
    let entrance = fleet.store.open_entrance().await.expect("an entrance");
    let node = start_node(&entrance.endpoint(), "node-1", true).await;
    fleet.nodes.push(node);
    wait_until("the node is ready", async || fleet.is_ready(1).await).await;
    sleep(SETTLE_TIME).await;
    (fleet, entrance)
}

#[tokio::test]
async fn removed_as_connections_go_silent() {
    // Before, with, and after the end of the first calls over the silent connections.
    for delay_ms in [0, 500, 1_500] {
        let fleet = fleet(3, 2).await;
        sleep(SETTLE_TIME).await;
        let silent_at = Instant::now();
        fleet.store.silence_connections();
        sleep(Duration::from_millis(delay_ms)).await;
        fleet.store.remove("servers/i-0");
        let removed_at = Instant::now();
        sleep_until((silent_at + CONTACT_TIME).max(removed_at + DRAIN_TIME)).await;
        assert_unused(&fleet, 0, &format!("{delay_ms} ms")).await;
    }
}

#[tokio::test]
async fn removed_while_one_node_is_turned_away() {
    for fault in [StoreFault::Refuses, StoreFault::Silent] {
        let (fleet, entrance) = fleet_with_entrance().await;
        entrance.set_fault(fault);
        sleep(OUTAGE).await;
        fleet.store.remove("servers/i-0");
        entrance.set_fault(StoreFault::None);
        sleep(CONTACT_TIME).await;
        assert_unused(&fleet, 0, &format!("{fault:?}")).await;
    }
}

#[tokio::test]
async fn removed_between_failed_calls() {
    // The node is turned away again and again, each time for less than the grace period after an outage.
    const AWAY: Duration = Duration::from_millis(700);
    const BETWEEN: Duration = Duration::from_millis(800);
    let (fleet, entrance) = fleet_with_entrance().await;
    for round in 0..6 {
        entrance.set_fault(StoreFault::Refuses);
        sleep(AWAY).await;
        entrance.set_fault(StoreFault::None);
        if round == 1 {
            fleet.store.remove("servers/i-0");
        }
        sleep(BETWEEN).await;
    }
    assert_unused(&fleet, 0, "again and again").await;
}

#[tokio::test]
async fn lapsed_in_an_outage() {
    for fault in [StoreFault::Refuses, StoreFault::Silent] {
        let fleet = fleet(2, 2).await;
        sleep(SETTLE_TIME).await;
        fleet.store.set_fault(fault);
        sleep(OUTAGE).await;
        for target in &fleet.targets {
            fleet.store.remove(&format!("servers/{}", target.id()));
        }
        fleet.store.set_fault(StoreFault::None);
        let returned_at = Instant::now();
        // Targets write their entries again within two seconds of the store's return.
        let mut number = 0;
        while returned_at.elapsed() < DRAIN_TIME {
            for node in 0..fleet.nodes.len() {
                let status = status(&fleet, node, number).await;
                let elapsed = returned_at.elapsed();
                assert_eq!(status, 200, "{fault:?}, {elapsed:?} after its return");
            }
            number += 1;
        }
        fleet.targets[1].announce(&fleet.store, "ready");
        sleep_until(returned_at + CONTACT_TIME + Duration::from_secs(1)).await;
        assert_unused(&fleet, 0, &format!("{fault:?}")).await;
    }
}

#[tokio::test]
async fn removed_beside_other_faults() {
    for fault in [
        StoreFault::DropsResponses,
        StoreFault::HangsWatches,
        StoreFault::DelaysWrites { delay_ms: 1_000 },
        StoreFault::None,
    ] {
        let fleet = fleet(2, 2).await;
        sleep(SETTLE_TIME).await;
        fleet.store.set_fault(fault);
        sleep(Duration::from_secs(1)).await;
        fleet.store.remove("servers/i-0");
        fleet.store.compact();
        sleep(Duration::from_secs(1)).await;
        fleet.store.set_fault(StoreFault::None);
        sleep(CONTACT_TIME).await;
        assert_unused(&fleet, 0, &format!("{fault:?}")).await;
    }
}
