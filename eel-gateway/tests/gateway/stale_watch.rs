//! A node whose watch of the store has gone silent, while its peers go on.

use eel_platform::standin::{Behaviour, StoreFault};

use crate::fixture::fleet;

#[tokio::test]
async fn results_that_a_peer_shows() {
    let mut fleet = fleet(1, 1).await;
    let front = fleet.add_node("front", false).await;
    // Once this job is done, each node has heard of the other one.
    assert_eq!(fleet.submit(front, "j0", &["stream/1"]).await, 202);
    fleet.results(front, "j0", 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    assert_eq!(fleet.submit(0, "j1", &["stream/1"]).await, 202);
    assert!(fleet.results(front, "j1", 0).await.is_empty());
    // From now on neither node hears of changes; the first one lists the result itself.
    fleet.store.set_fault(StoreFault::HangsWatches);
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    let shown = fleet.results(0, "j1", 1).await;
    assert_eq!(fleet.results(front, "j1", 1).await, shown);
}
