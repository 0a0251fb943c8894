//! The configuration in force at the entry node.

use std::{collections::BTreeMap, convert::Infallible, sync::Arc};

use arc_swap::ArcSwap;
use bytes::Bytes;
use eel_config::{Options, Publisher, SnapshotSource, follow};
use eel_record::{Problem, Snapshot};
use eel_store::KeyValue;
use eel_types::Revision;
use eel_wire::message::Configuration;
use tokio::sync::watch;

use crate::authenticate::CallerIndex;

/// A snapshot and what is derived from it.
#[derive(Debug, Default)]
pub(crate) struct LiveConfig {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) callers: CallerIndex,
}

/// Holds the snapshot in force and tells the links about it.
pub(crate) struct ConfigState {
    publisher: Publisher,
    live: ArcSwap<LiveConfig>,
    configuration: watch::Sender<Arc<Configuration>>,
}

impl ConfigState {
    pub(crate) fn new() -> Self {
        let live = LiveConfig::default();
        let configuration = watch::Sender::new(Arc::new(to_message(&live.snapshot)));
        Self {
            publisher: Publisher::new(),
            live: ArcSwap::from_pointee(live),
            configuration,
        }
    }

    pub(crate) fn live(&self) -> Arc<LiveConfig> {
        self.live.load_full()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.live.load().snapshot.revision
    }

    /// Returns why records keep an earlier version in force, or are not in force.
    pub(crate) fn problems(&self) -> Arc<[Problem]> {
        self.publisher.problems()
    }

    /// Returns the messages that keep target nodes on the newest snapshot.
    pub(crate) fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.subscribe()
    }

    /// Follows the records under `prefix`; a node that starts during an outage of the store asks `peers`.
    pub(crate) async fn follow(
        &self,
        prefix: &str,
        store: &impl KeyValue,
        peers: &impl SnapshotSource,
    ) -> Infallible {
        follow(&Options::new(prefix), store, peers, &self.publisher).await
    }

    /// Derives the rest of the configuration from each new snapshot, and calls `on_change` with the snapshots before and
    /// after; ends with the publisher.
    pub(crate) async fn derive(&self, on_change: impl Fn(&Snapshot, &Snapshot)) {
        let mut snapshots = self.publisher.subscribe();
        snapshots.mark_changed();
        while snapshots.changed().await.is_ok() {
            let snapshot = snapshots.borrow_and_update().clone();
            on_change(&self.live().snapshot, &snapshot);
            self.put(snapshot);
        }
    }

    fn put(&self, snapshot: Arc<Snapshot>) {
        let message = Arc::new(to_message(&snapshot));
        let callers = CallerIndex::new(&snapshot);
        self.live.store(Arc::new(LiveConfig { snapshot, callers }));
        self.configuration.send_replace(message);
    }
}

/// Leaves out the declared jobs, which no target node needs and whose items may be large. Callers stay, since an entry
/// node that starts during an outage of the store takes them from its peers.
fn to_message(snapshot: &Snapshot) -> Configuration {
    let without_jobs = Snapshot {
        jobs: BTreeMap::new(),
        ..snapshot.clone()
    };
    Configuration {
        revision: snapshot.revision,
        snapshot_json: Bytes::from(serde_json::to_vec(&without_jobs).unwrap_or_default()),
    }
}
