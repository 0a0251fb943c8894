//! Shared state and lifecycle of batch job processing.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use eel_batch::{Keys, LiveJobs, OpenChunk, store::JobStore};
use eel_store::{KeyValue, LeaseId};
use eel_types::Name;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::{Host, Metrics, Options, claim, follow, lease, sweep, work::ActiveChunk};

/// The number of submissions that are parsed and stored concurrently.
const MAX_PARALLEL_SUBMISSIONS: usize = 2;

/// Batch job processing of one entry node: the state shared by its tasks and API handlers.
#[derive(Debug)]
pub struct JobNode<S, H> {
    pub(crate) options: Options,
    pub(crate) jobs: JobStore<S>,
    pub(crate) metrics: Metrics,
    pub(crate) host: Arc<H>,
    live_jobs: Mutex<LiveJobs>,
    active: Mutex<HashMap<OpenChunk, Arc<ActiveChunk>>>,
    /// The start time of the last successful poll for cancellations.
    cancels_read_ms: AtomicU64,
    pub(crate) lease: watch::Sender<Option<lease::HeldLease>>,
    pub(crate) submissions: Semaphore,
    /// Cancelled once the node shuts down: it claims no more chunks and releases those it holds.
    pub(crate) draining: CancellationToken,
    stopped: CancellationToken,
}

impl<S: KeyValue, H: Host> JobNode<S, H> {
    /// Creates the shared state; [`JobNode::run`] starts the tasks.
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

    /// Runs until [`JobNode::start_drain`] is called and every claimed chunk is done or released.
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
            // A lease that cannot be revoked expires.
            let _ = self.jobs.store().revoke(held.id).await;
        }
        self.stopped.cancel();
        log::info!(target: "jobs", "Batch job processing has stopped.");
    }

    /// Returns the metrics, to be registered by the host.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns whether this node could use credits for `service`: it holds a chunk of the service or could claim one.
    pub fn wants_credits(&self, service: &Name) -> bool {
        let held = |chunk: &Arc<ActiveChunk>| chunk.service == *service;
        if self.active().values().any(held) {
            return true;
        }
        let open = self.live_jobs().next_claim(self.now_ms(), service);
        self.options.claims_enabled && !self.draining.is_cancelled() && open.is_some()
    }

    /// Starts the shutdown: no more chunks are claimed, running items may finish.
    pub fn start_drain(&self) {
        self.draining.cancel();
    }

    /// Waits until [`JobNode::run`] has returned.
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

    /// Returns `true` if `lease` is the lease that the node maintains.
    pub(crate) fn is_current(&self, lease: LeaseId) -> bool {
        self.lease.borrow().is_some_and(|held| held.id == lease)
    }

    pub(crate) fn set_cancels_read_ms(&self, started_at_ms: u64) {
        self.cancels_read_ms.store(started_at_ms, Ordering::Relaxed);
    }

    /// Returns `true` if this node knows all cancellations accepted up to a few seconds ago.
    pub(crate) fn are_cancels_fresh(&self) -> bool {
        /// A cancellation takes effect within 5 s; the remaining second is for sending an item.
        const MAX_AGE_MS: u64 = 4_000;
        let read_ms = self.cancels_read_ms.load(Ordering::Relaxed);
        self.now_ms().saturating_sub(read_ms) <= MAX_AGE_MS
    }
}

/// Returns the current Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
