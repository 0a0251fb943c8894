//! A node whose watch of the store hangs while a peer has newer results.
//!
//! Guards against a node that responds with old results although its peers' load reports show a newer revision.

use eel_platform::standin::{Behaviour, StoreFault};

use crate::fixture::fleet;

#[tokio::test]
async fn results_that_a_peer_shows() {
    let mut fleet = fleet(1, 1).await;
    let front = fleet.add_node("front", false).await;
    // Once this job has its result, each node has received a report from the other one.
    assert_eq!(fleet.submit(front, "j0", &["stream/1"]).await, 202);
    fleet.results(front, "j0", 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    assert_eq!(fleet.submit(0, "j1", &["stream/1"]).await, 202);
    assert!(fleet.results(front, "j1", 0).await.is_empty());
    // From now on no watch delivers changes; the first node knows the result because it lists it itself.
    fleet.store.set_fault(StoreFault::HangsWatches);
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    let shown = fleet.results(0, "j1", 1).await;
    assert_eq!(fleet.results(front, "j1", 1).await, shown);
}
