//! Guards against a node that has no configuration because it starts while the store is down, and against a peer's
//! older snapshot replacing a newer one.

use std::sync::Arc;

use eel_config::{Publisher, SnapshotSource};
use eel_record::Snapshot;
use eel_standin::kv::KvServer;
use eel_types::Revision;

use crate::fixture::{Node, slots_of, write};

/// A peer in the same process.
#[derive(Clone)]
struct Peer(Publisher);

impl SnapshotSource for Peer {
    async fn fetch(&self) -> Option<Snapshot> {
        let snapshot = self.0.snapshot();
        (snapshot.revision > Revision(0)).then(|| (*snapshot).clone())
    }
}

/// Returns a peer that has the current records of `server` in force.
async fn peer_of(server: &KvServer) -> Peer {
    let mut node = Node::start(server);
    node.wait_for_revision(1).await;
    let publisher = Publisher::new();
    publisher.offer(Arc::clone(&node.snapshots.borrow()));
    Peer(publisher)
}

#[tokio::test]
async fn outage_at_start() {
    let mut server = KvServer::start().await.expect("a free port");
    write(&server, &[("s", 1)]).await;
    let peer = peer_of(&server).await;
    server.stop().await;
    let mut node = Node::start_with_peers(&server, peer);
    node.wait_for_slots("s", 1).await;
    server.resume().await.expect("the same port");
    write(&server, &[("s", 2)]).await;
    node.wait_for_slots("s", 2).await;
}

#[tokio::test]
async fn peers_without_configuration() {
    let mut server = KvServer::start().await.expect("a free port");
    write(&server, &[("s", 1)]).await;
    server.stop().await;
    let peer = Peer(Publisher::new());
    let mut node = Node::start_with_peers(&server, peer.clone());
    assert_eq!(node.snapshots.borrow().revision, Revision(0));
    // The peer receives its configuration later, while the store is still down.
    let late = Snapshot {
        revision: Revision(1),
        ..Snapshot::default()
    };
    peer.0.offer(Arc::new(late));
    node.wait_for_revision(1).await;
    server.resume().await.expect("the same port");
    node.wait_for_slots("s", 1).await;
}

#[tokio::test]
async fn older_peer_ignored() {
    let server = KvServer::start().await.expect("a free port");
    write(&server, &[("s", 1)]).await;
    let older = peer_of(&server).await;
    write(&server, &[("s", 2)]).await;
    let publisher = peer_of(&server).await.0;
    publisher.offer(older.0.snapshot());
    assert_eq!(slots_of(&publisher.snapshot(), "s"), Some(2));
}
