//! Holds the configuration in force at the entry node and distributes it to the links.

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

/// A snapshot and the caller index derived from it.
#[derive(Debug, Default)]
pub(crate) struct LiveConfig {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) callers: CallerIndex,
}

/// Holds the snapshot in force and publishes it to the links.
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

    /// Returns the records whose newest version is not in force, with the reasons.
    pub(crate) fn problems(&self) -> Arc<[Problem]> {
        self.publisher.problems()
    }

    /// Returns a receiver of the messages that bring target nodes to the newest snapshot.
    pub(crate) fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.subscribe()
    }

    /// Follows the records under `prefix`. A node that starts during an outage of the store fetches its first snapshot
    /// from `peers`.
    pub(crate) async fn follow(
        &self,
        prefix: &str,
        store: &impl KeyValue,
        peers: &impl SnapshotSource,
    ) -> Infallible {
        follow(&Options::new(prefix), store, peers, &self.publisher).await
    }

    /// Rebuilds the caller index and the message for target nodes from each new snapshot, and calls `on_change` with
    /// the previous and the new snapshot. Returns once the publisher is dropped.
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

/// Encodes `snapshot` without the declared jobs, which no target node needs and whose items may be large. Callers are
/// included, since an entry node that starts during an outage of the store fetches them from target nodes.
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
