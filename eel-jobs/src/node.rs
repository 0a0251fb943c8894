//! What the tasks of the batch part share, and how they are run.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use eel_batch::{Keys, LiveJobs, OpenChunk, store::JobStore};
use eel_store::KeyValue;
use eel_types::Name;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::{Host, Metrics, Options, claim, follow, lease, sweep, work::ActiveChunk};

/// Submissions that are read and kept at the same time.
const MAX_PARALLEL_SUBMISSIONS: usize = 2;

/// The batch part of one entry node.
#[derive(Debug)]
pub struct JobNode<S, H> {
    pub(crate) options: Options,
    pub(crate) jobs: JobStore<S>,
    pub(crate) metrics: Metrics,
    pub(crate) host: Arc<H>,
    live_jobs: Mutex<LiveJobs>,
    active: Mutex<HashMap<OpenChunk, Arc<ActiveChunk>>>,
    /// When the latest complete reading of the cancels began.
    cancels_read_ms: AtomicU64,
    pub(crate) lease: watch::Sender<Option<lease::HeldLease>>,
    pub(crate) submissions: Semaphore,
    /// Cancelled once the node leaves: it claims nothing more and hands its chunks back.
    pub(crate) draining: CancellationToken,
    stopped: CancellationToken,
}

impl<S: KeyValue, H: Host> JobNode<S, H> {
    /// Sets the batch part up; [`JobNode::run`] makes it work.
    #[must_use]
    pub fn new(options: Options, store: S, host: Arc<H>) -> Arc<Self> {
        let keys = Keys::new(&options.prefix);
        Arc::new(Self {
            live_jobs: Mutex::new(LiveJobs::new(options.vm.clone())),
            jobs: JobStore::new(store, keys),
            host,
            metrics: Metrics::default(),
            active: Mutex::default(),
            cancels_read_ms: AtomicU64::new(0),
            lease: watch::Sender::new(None),
            submissions: Semaphore::new(MAX_PARALLEL_SUBMISSIONS),
            draining: CancellationToken::new(),
            stopped: CancellationToken::new(),
            options,
        })
    }

    /// Works until [`JobNode::start_drain`] is called and every claimed chunk is handed back or done.
    pub async fn run(self: &Arc<Self>) {
        let claims = async {
            if self.options.claims_enabled {
                claim::run(self).await;
            } else {
                self.draining.cancelled().await;
            }
        };
        let background = async {
            tokio::join!(
                lease::maintain(self, &self.lease),
                follow::run(self),
                follow::poll_cancels(self),
                sweep::run(self),
            );
        };
        tokio::select! {
            () = claims => {}
            () = background => {}
        }
        let held = *self.lease.borrow();
        if let Some(held) = held {
            // A lease that can't be revoked lapses.
            let _ = self.jobs.store().revoke(held.id).await;
        }
        self.stopped.cancel();
        log::info!(target: "jobs", "The batch part has stopped.");
    }

    /// Returns the metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns whether credits for `service` would be spent: a chunk of it is held here or open to be claimed.
    pub fn wants_credits(&self, service: &Name) -> bool {
        let held = |chunk: &Arc<ActiveChunk>| chunk.service == *service;
        if self.active().values().any(held) {
            return true;
        }
        let open = self.live_jobs().next_claim(self.now_ms(), service);
        self.options.claims_enabled && !self.draining.is_cancelled() && open.is_some()
    }

    /// Asks the batch part to leave: no further claims, what runs may finish.
    pub fn start_drain(&self) {
        self.draining.cancel();
    }

    /// Waits until [`JobNode::run`] has ended after [`JobNode::start_drain`].
    pub async fn stopped(&self) {
        self.stopped.cancelled().await;
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.host.now_ms()
    }

    pub(crate) fn live_jobs(&self) -> MutexGuard<'_, LiveJobs> {
        self.live_jobs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn active(&self) -> MutexGuard<'_, HashMap<OpenChunk, Arc<ActiveChunk>>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_cancels_read_ms(&self, began_ms: u64) {
        self.cancels_read_ms.store(began_ms, Ordering::Relaxed);
    }

    /// Returns `true` if a cancel that was accepted a few seconds ago would be known here.
    pub(crate) fn are_cancels_fresh(&self) -> bool {
        /// Leaves a second of the promised five for an item to be sent.
        const MAX_AGE_MS: u64 = 4_000;
        let read_ms = self.cancels_read_ms.load(Ordering::Relaxed);
        self.now_ms().saturating_sub(read_ms) <= MAX_AGE_MS
    }
}

/// Returns the present Unix time.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
