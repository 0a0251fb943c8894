//! The node's own entry in the store.
//!
//! Guards against a node that stays unlisted after its entry was removed or its lease expired in an outage, and against
//! an entry that outlives a drained node.

use eel_platform::standin::StoreFault;

use crate::fixture::{fleet, wait_until};

const ENTRY: &str = "eelgrassgap/nodes/node-0";

#[tokio::test]
async fn removed_entry() {
    let fleet = fleet(1, 0).await;
    wait_until("the node is listed", async || {
        !fleet.store.keys(ENTRY).is_empty()
    })
    .await;
    fleet.store.remove(ENTRY);
    wait_until("the node is listed again", async || {
        !fleet.store.keys(ENTRY).is_empty()
    })
    .await;
}

#[tokio::test]
async fn expired_in_an_outage() {
    let fleet = fleet(1, 0).await;
    wait_until("the node is listed", async || {
        !fleet.store.keys(ENTRY).is_empty()
    })
    .await;
    fleet.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
    fleet.store.set_fault(StoreFault::None);
    wait_until("the node is listed again", async || {
        !fleet.store.keys(ENTRY).is_empty()
    })
    .await;
}

#[tokio::test]
async fn revoked_when_draining() {
    let mut fleet = fleet(1, 0).await;
    wait_until("the node is listed", async || {
        !fleet.store.keys(ENTRY).is_empty()
    })
    .await;
    let node = fleet.nodes.remove(0);
    node.shutdown.on_signal();
    node.task.await.expect("the node ends");
    assert!(fleet.store.keys(ENTRY).is_empty());
}
