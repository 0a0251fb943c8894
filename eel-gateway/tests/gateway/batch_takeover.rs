//! Items whose node is aborted or drained while they run.
//!
//! Guards against another node running an item from its start although its progress is saved.

use eel_platform::standin::{Behaviour, StandInTarget};

use crate::fixture::{Fleet, orphaned_fleet, stalled_fleet, wait_until};

/// Adds a node and checks that it resumes the item and completes it with a single further run.
async fn assert_resumed(mut fleet: Fleet) {
    for target in &fleet.targets {
        target.set_default_behaviour(Behaviour::Responds);
    }
    let before = fleet.runs("j1-0");
    let resumed_before: usize = fleet
        .targets
        .iter()
        .map(|target| target.resumed_after().len())
        .sum();
    let next = fleet.add_node("next", true).await;
    let results = fleet.results(next, "j1", 1).await;
    assert_eq!(results[0]["text"], "word1\nword2\nword3\nword4\nword5");
    let resumed: Vec<u64> = fleet
        .targets
        .iter()
        .flat_map(StandInTarget::resumed_after)
        .collect();
    assert_eq!(fleet.runs("j1-0"), before + 1);
    assert_eq!(
        resumed.len(),
        resumed_before + 1,
        "the item is resumed, not run from its start"
    );
    // The node may have been stopped before it had read all three events.
    assert!(
        resumed.iter().all(|event| (1..=3).contains(event)),
        "{resumed:?}"
    );
}

#[tokio::test]
async fn after_a_loss() {
    assert_resumed(orphaned_fleet().await).await;
}

#[tokio::test]
async fn after_a_stop() {
    let mut fleet = stalled_fleet().await;
    let leaving = fleet.nodes.remove(0);
    leaving.shutdown.on_signal();
    leaving.task.await.expect("the node ends");
    assert_resumed(fleet).await;
}

#[tokio::test]
async fn pieces_are_removed() {
    let fleet = stalled_fleet().await;
    let count = || fleet.store.keys("eelgrassgap/partials/").len();
    wait_until("its text is saved", async || count() > 0).await;
    for target in &fleet.targets {
        target.set_default_behaviour(Behaviour::Responds);
    }
    fleet.results(0, "j1", 1).await;
    for target in &fleet.targets {
        target.set_default_behaviour(Behaviour::StallsAfter(2));
    }
    // The next save removes the pieces of ended items.
    assert_eq!(fleet.submit(0, "j2", &["stream/1"]).await, 202);
    let first = fleet.store.keys("eelgrassgap/partials/");
    wait_until("the pieces of the first job are removed", async || {
        let now = fleet.store.keys("eelgrassgap/partials/");
        !now.is_empty() && !now.contains(&first[0])
    })
    .await;
}
