//! The configuration in force at the entry node.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use eel_record::{Problem, Snapshot, SnapshotOutcome, StoredRecord};
use eel_store::{KeyValue, RangeRequest, StoreResult, WatchEvent, WatchOptions};
use eel_types::Revision;
use eel_wire::message::Configuration;
use futures_util::StreamExt as _;
use tokio::sync::watch;

use crate::authenticate::CallerIndex;

/// A snapshot and what is derived from it.
#[derive(Debug, Default)]
pub(crate) struct Live {
    pub(crate) snapshot: Snapshot,
    pub(crate) callers: CallerIndex,
    /// Why records keep an earlier version in force, or are not in force.
    pub(crate) problems: Vec<Problem>,
}

/// Holds the snapshot in force and tells the links about it.
pub(crate) struct InForce {
    live: ArcSwap<Live>,
    configuration: watch::Sender<Arc<Configuration>>,
}

impl InForce {
    pub(crate) fn new() -> Self {
        let live = Live::default();
        let configuration = watch::Sender::new(Arc::new(to_message(&live.snapshot)));
        Self {
            live: ArcSwap::from_pointee(live),
            configuration,
        }
    }

    pub(crate) fn live(&self) -> Arc<Live> {
        self.live.load_full()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.live.load().snapshot.revision
    }

    /// Returns the messages that keep target nodes on the newest snapshot.
    pub(crate) fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.subscribe()
    }

    fn put(&self, outcome: SnapshotOutcome) {
        let SnapshotOutcome { snapshot, problems } = outcome;
        let message = Arc::new(to_message(&snapshot));
        let callers = CallerIndex::new(&snapshot);
        self.live.store(Arc::new(Live {
            snapshot,
            callers,
            problems,
        }));
        self.configuration.send_replace(message);
    }
}

fn to_message(snapshot: &Snapshot) -> Configuration {
    Configuration {
        revision: snapshot.revision,
        snapshot_json: Bytes::from(serde_json::to_vec(snapshot).unwrap_or_default()),
    }
}

/// Follows the records under `prefix`, and calls `on_change` with the snapshots before and after each change.
///
/// Returns when the watch ends.
///
/// # Errors
///
/// An error of the store; the snapshot in force stays.
pub(crate) async fn follow(
    store: &impl KeyValue,
    prefix: &str,
    in_force: &InForce,
    on_change: impl Fn(&Snapshot, &Snapshot),
) -> StoreResult<()> {
    let seen = read(store, prefix, in_force, &on_change).await?;
    let mut events = store.watch(WatchOptions {
        prefix: prefix.into(),
        from_revision: Some(Revision(seen.0 + 1)),
    });
    while let Some(event) = events.next().await {
        match event {
            WatchEvent::Progress { .. } => {}
            _ => {
                read(store, prefix, in_force, &on_change).await?;
            }
        }
    }
    Ok(())
}

async fn read(
    store: &impl KeyValue,
    prefix: &str,
    in_force: &InForce,
    on_change: &impl Fn(&Snapshot, &Snapshot),
) -> StoreResult<Revision> {
    let range = store.range(&RangeRequest::prefix(prefix)).await?;
    let revision = range.revision;
    let previous = in_force.live();
    let records = range.kvs.into_iter().filter_map(|pair| {
        let path = pair.key.strip_prefix(prefix)?;
        Some(StoredRecord {
            path: path.into(),
            revision: pair.mod_revision,
            value: pair.value.to_vec(),
        })
    });
    let outcome = Snapshot::from_records(revision, &previous.snapshot, records);
    for problem in &outcome.problems {
        log::warn!(target: "config", "A record is not in force: {problem}.");
    }
    if outcome.snapshot != previous.snapshot {
        on_change(&previous.snapshot, &outcome.snapshot);
        log::info!(target: "config", "Revision {} is in force.", outcome.snapshot.revision);
        in_force.put(outcome);
    }
    Ok(revision)
}
