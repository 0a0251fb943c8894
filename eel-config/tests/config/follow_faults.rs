//! Guards against changes that never come into force because the watch missed them, and against a return to older
//! records. The watch misses changes when it is cut, goes silent or is compacted, or when the store restarts, is slow
//! or fails.

use eel_standin::kv::{Faults, KvServer};
use eel_store::{KeyValue as _, Op, Txn};

use crate::fixture::{Node, PREFIX, client, slots_of, write};

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    WatchCut,
    WatchSilent,
    NewWatchesSilent,
    Restart,
    Compacted,
    Slow,
    Erroring,
}

/// Injects the fault and writes a change that the watch may miss.
async fn change_under(fault: Fault, server: &mut KvServer) {
    match fault {
        Fault::None => {}
        Fault::WatchCut => server.close_watches(),
        Fault::WatchSilent => server.silence_watches(),
        Fault::NewWatchesSilent => {
            server.set_faults(Faults {
                silence_new_watches: true,
                ..Faults::default()
            });
            server.close_watches();
        }
        Fault::Restart => server.stop().await,
        Fault::Compacted => {
            server.silence_watches();
            write(server, &[("s", 98)]).await;
            write(server, &[("s", 99)]).await;
            server.compact();
        }
        Fault::Slow => server.set_faults(Faults {
            delay_ms: 100,
            response_delay_ms: 100,
            ..Faults::default()
        }),
        Fault::Erroring => {
            server.set_faults(Faults {
                unavailable: true,
                ..Faults::default()
            });
            server.close_watches();
        }
    }
    if let Fault::Restart = fault {
        server.resume().await.expect("the same port");
    }
    if let Fault::Erroring = fault {
        server.set_faults(Faults::default());
    }
    write(server, &[("s", 2)]).await;
    if let Fault::NewWatchesSilent = fault {
        server.set_faults(Faults::default());
    }
}

#[tokio::test]
async fn change_comes_into_force() {
    let faults = [
        Fault::None,
        Fault::WatchCut,
        Fault::WatchSilent,
        Fault::NewWatchesSilent,
        Fault::Restart,
        Fault::Compacted,
        Fault::Slow,
        Fault::Erroring,
    ];
    for fault in faults {
        println!("{fault:?}");
        let mut server = KvServer::start().await.expect("a free port");
        write(&server, &[("s", 1), ("gone", 1)]).await;
        let mut node = Node::start(&server);
        node.wait_for_slots("s", 1).await;
        change_under(fault, &mut server).await;
        node.wait_for_slots("s", 2).await;
        let delete = Txn {
            success: vec![Op::Delete {
                key: format!("{PREFIX}service/gone"),
            }],
            ..Txn::default()
        };
        client(&server).commit(&delete).await.expect("a write");
        let is_gone = |snapshot: &std::sync::Arc<_>| slots_of(snapshot, "gone").is_none();
        node.snapshots.wait_for(is_gone).await.expect("it goes on");
    }
}

#[tokio::test]
async fn changes_appear_together() {
    let server = KvServer::start().await.expect("a free port");
    write(&server, &[("a", 1), ("b", 1)]).await;
    let mut node = Node::start(&server);
    node.wait_for_slots("a", 1).await;
    let watching = tokio::spawn(async move {
        loop {
            node.snapshots.changed().await.expect("the task runs");
            let snapshot = node.snapshots.borrow_and_update().clone();
            let slots = slots_of(&snapshot, "a");
            assert_eq!(slots, slots_of(&snapshot, "b"));
            if slots == Some(50) {
                return;
            }
        }
    });
    for slots in 2..=50 {
        write(&server, &[("a", slots), ("b", slots)]).await;
    }
    watching.await.expect("both changed together");
}

#[tokio::test]
async fn reads_every_page() {
    let server = KvServer::start().await.expect("a free port");
    let names: Vec<String> = (0..600).map(|n| format!("s{n}")).collect();
    for names in names.chunks(100) {
        let services: Vec<_> = names.iter().map(|name| (name.as_str(), 1)).collect();
        write(&server, &services).await;
    }
    let mut node = Node::start(&server);
    node.wait_for_revision(1).await;
    assert_eq!(node.snapshots.borrow().services.len(), names.len());
    assert_eq!(server.counts().reads, 3);
}

#[tokio::test]
async fn other_keys_change_nothing() {
    let server = KvServer::start().await.expect("a free port");
    write(&server, &[("s", 1)]).await;
    let mut node = Node::start(&server);
    node.wait_for_slots("s", 1).await;
    node.snapshots.mark_unchanged();
    for _ in 0..10 {
        let other = Txn {
            success: vec![Op::put("eel/jobs/1", "x")],
            ..Txn::default()
        };
        client(&server).commit(&other).await.expect("a write");
    }
    server.send_progress();
    let revision = write(&server, &[("s", 2)]).await;
    node.snapshots.changed().await.expect("the task runs");
    assert_eq!(node.snapshots.borrow().revision.0, revision);
}

/// A store restored from an old copy must not revert the nodes to older records.
#[tokio::test]
async fn restored_store_stays_behind() {
    let server = KvServer::start().await.expect("a free port");
    for slots in 1..=5 {
        write(&server, &[("s", slots)]).await;
    }
    let mut node = Node::start(&server);
    node.wait_for_slots("s", 5).await;
    let address = server.address();
    drop(server);
    let server = loop {
        match KvServer::start_at(address).await {
            Ok(server) => break server,
            Err(_) => tokio::task::yield_now().await, // the old server still holds the port
        }
    };
    node.snapshots.mark_unchanged();
    let mut slots = 100;
    while write(&server, &[("s", slots)]).await <= 6 {
        slots += 1;
    }
    // The next change to be published is the first one that is newer than the snapshot in force.
    node.snapshots.changed().await.expect("the task runs");
    let snapshot = node.snapshots.borrow_and_update().clone();
    assert_eq!(slots_of(&snapshot, "s"), Some(slots));
    assert_eq!(snapshot.revision.0, 7);
}
