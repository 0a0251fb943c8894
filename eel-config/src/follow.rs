//! Follows the configuration records in the key-value service.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use eel_record::Snapshot;
use eel_store::{
    KeyValue, KeyValuePair, RangeRequest, StoreResult, WatchOptions as StoreWatchOptions,
};
use eel_types::Revision;
use futures_util::StreamExt as _;
use tokio::{sync::watch as channel, task::JoinHandle};

use crate::{EventOutcome, OfferOutcome, Publisher, Records};

/// The number of keys read per request.
const PAGE_KEYS: u32 = 256;

/// The key prefix to follow, and the backoff while the key-value service is unavailable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The prefix of the record keys, up to and including `config/`.
    pub prefix: String,
    /// The delay after the first failed read. It doubles with each further failure.
    pub initial_backoff_ms: u64,
    /// The maximum delay between reads.
    pub max_backoff_ms: u64,
}

impl Options {
    /// Returns options for `prefix` with the default backoff.
    #[must_use]
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            initial_backoff_ms: 100,
            max_backoff_ms: 2_000,
        }
    }
}

/// Provides the first snapshot to a node that starts while the key-value service is unavailable.
pub trait SnapshotSource: Send + Sync + 'static {
    /// Returns the newest snapshot in force at the peers; `None` if no peer provides one.
    fn fetch(&self) -> impl Future<Output = Option<Snapshot>> + Send;
}

/// A [`SnapshotSource`] for nodes without peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl SnapshotSource for NoPeers {
    async fn fetch(&self) -> Option<Snapshot> {
        None
    }
}

/// Spawns a task that runs [`follow`] until it is aborted. Returns a receiver of the snapshot in force, and the task.
pub fn watch<S: KeyValue, P: SnapshotSource>(
    options: Options,
    store: Arc<S>,
    peers: P,
) -> (channel::Receiver<Arc<Snapshot>>, JoinHandle<Infallible>) {
    let publisher = Publisher::new();
    let receiver = publisher.subscribe();
    let task = tokio::spawn(async move { follow(&options, &*store, &peers, &publisher).await });
    (receiver, task)
}

/// Publishes a snapshot of the newest records to `publisher`: reads all records, then applies the changes from a watch.
/// During an outage of the store the last snapshot stays in force.
pub async fn follow<S: KeyValue, P: SnapshotSource>(
    options: &Options,
    store: &S,
    peers: &P,
    publisher: &Publisher,
) -> Infallible {
    loop {
        let mut records = read_with_retry(options, store, peers, publisher).await;
        publish(&records, publisher);
        let mut events = store.watch(StoreWatchOptions {
            prefix: options.prefix.clone(),
            from_revision: Some(Revision(records.revision().0 + 1)),
        });
        while let Some(event) = events.next().await {
            match records.on_event(event) {
                EventOutcome::Pending => {}
                EventOutcome::Complete => publish(&records, publisher),
                EventOutcome::Compacted => break,
            }
        }
        log::warn!(target: "config", "The watch of the records has ended; all records are read again.");
    }
}

/// Reads all records, with retries. While reads fail, a node without a configuration asks its peers for theirs.
async fn read_with_retry<S: KeyValue, P: SnapshotSource>(
    options: &Options,
    store: &S,
    peers: &P,
    publisher: &Publisher,
) -> Records {
    let mut retry_ms = options.initial_backoff_ms;
    loop {
        match read(&options.prefix, store).await {
            Ok(records) => return records,
            Err(error) => log::warn!(target: "config", "Cannot read the records: {error}."),
        }
        if publisher.snapshot().revision == Revision::default() {
            fetch_from_peers(peers, publisher).await;
        }
        tokio::time::sleep(Duration::from_millis(retry_ms)).await;
        retry_ms = (retry_ms * 2).min(options.max_backoff_ms);
    }
}

async fn fetch_from_peers<P: SnapshotSource>(peers: &P, publisher: &Publisher) {
    let Some(snapshot) = peers.fetch().await else {
        return;
    };
    let revision = snapshot.revision;
    if publisher.offer(Arc::new(snapshot)) == OfferOutcome::Accepted {
        log::info!(target: "config", "Revision {revision} is in force, from a peer.");
    }
}

/// Reads all records in pages, at the revision of the first page.
async fn read<S: KeyValue>(prefix: &str, store: &S) -> StoreResult<Records> {
    let mut request = RangeRequest {
        limit: PAGE_KEYS,
        ..RangeRequest::prefix(prefix)
    };
    let mut pairs: Vec<KeyValuePair> = Vec::new();
    loop {
        let page = store.range(&request).await?;
        let revision = *request.revision.get_or_insert(page.revision);
        pairs.extend(page.kvs);
        if !page.more {
            return Ok(Records::new(prefix, revision, pairs));
        }
        request.after = pairs.last().map(|pair| pair.key.clone());
    }
}

/// Offers the snapshot of `records` to `publisher`. A store that was restored from an older copy is ignored until it
/// passes the revision in force.
fn publish(records: &Records, publisher: &Publisher) {
    let previous = publisher.snapshot();
    let outcome = records.snapshot(&previous);
    for problem in &outcome.problems {
        log::warn!(target: "config", "A record is not in force: {problem}.");
    }
    publisher.set_problems(outcome.problems);
    if records.revision() < previous.revision {
        log::error!(
            target: "config",
            "The store is at revision {}, older than revision {} in force, which stays in force.",
            records.revision(),
            previous.revision
        );
        return;
    }
    let revision = outcome.snapshot.revision;
    if publisher.offer(Arc::new(outcome.snapshot)) == OfferOutcome::Accepted {
        log::info!(target: "config", "Revision {revision} is in force.");
    }
}
