//! What the parts of the process share.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwapOption;
use eel_fleet::{Lag, Peers, Registry};
use eel_ledger::{Ledger, Partials, owner_of};
use eel_platform::PlatformStore;
use eel_store::Txn;
use eel_table::RouteTable;
use eel_types::{Clock, Name};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::{metrics::Metrics, slots::Slots, target::Pool};

/// How long after its last answer the store counts as reachable, in ms: two renewals of a lease and a call's time.
const STORE_FRESH_MS: u64 = 2_500;

/// What the parts of the process share.
pub(crate) struct Context {
    pub(crate) name: Name,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) token: u64,
    pub(crate) runs_batch: bool,
    pub(crate) slots: Arc<Slots>,
    pub(crate) pool: Pool,
    pub(crate) store: PlatformStore,
    pub(crate) prefix: Name,
    pub(crate) table: ArcSwapOption<RouteTable>,
    pub(crate) metrics: Arc<Metrics>,
    registry: Mutex<Registry>,
    peers: Mutex<Peers>,
    ledger: Mutex<Ledger>,
    lag: Mutex<Lag>,
    partials: Mutex<Partials>,
    /// Counts the writes of how far items are.
    pub(crate) saves: AtomicU64,
    /// Whether a node that runs batch has read the jobs and how far their items are.
    pub(crate) has_read_jobs: AtomicBool,
    /// Counts the changes of the ledger.
    pub(crate) ledger_changes: watch::Sender<u64>,
    /// Told when a slot may have become free, or has to be given back.
    pub(crate) batch_wake: Notify,
    /// Told when the node's entry is gone from the store.
    pub(crate) entry_lost: Notify,
    /// When the store answered last, on `clock`; 0 before it ever did.
    store_answered_ms: AtomicU64,
    /// Nodes that the operator wants emptied and that were not reported empty by this node.
    retirements: Mutex<BTreeSet<Name>>,
    /// Whether the operator wants this node emptied.
    pub(crate) is_retiring: AtomicBool,
    /// Cancelled once the node is not ready any more.
    pub(crate) leaving: CancellationToken,
}

/// What a context starts with.
pub(crate) struct ContextOptions {
    pub(crate) name: Name,
    pub(crate) data_centre: Name,
    pub(crate) runs_batch: bool,
    pub(crate) store: PlatformStore,
    pub(crate) prefix: Name,
}

impl Context {
    pub(crate) fn new(options: ContextOptions) -> Self {
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::default());
        let keys = eel_ledger::Keys::new(options.prefix.clone());
        Self {
            name: options.name,
            clock,
            incarnation: rand::random(),
            token: rand::random(),
            runs_batch: options.runs_batch,
            slots: Slots::new(clock, options.data_centre, metrics.clone()),
            pool: Pool::default(),
            store: options.store,
            prefix: options.prefix,
            table: ArcSwapOption::empty(),
            metrics,
            registry: Mutex::default(),
            peers: Mutex::default(),
            ledger: Mutex::new(Ledger::new(keys)),
            lag: Mutex::default(),
            partials: Mutex::default(),
            saves: AtomicU64::new(0),
            has_read_jobs: AtomicBool::new(false),
            ledger_changes: watch::channel(0).0,
            batch_wake: Notify::new(),
            entry_lost: Notify::new(),
            store_answered_ms: AtomicU64::new(0),
            retirements: Mutex::default(),
            is_retiring: AtomicBool::new(false),
            leaving: CancellationToken::new(),
        }
    }

    pub(crate) fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn lag(&self) -> MutexGuard<'_, Lag> {
        self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn partials(&self) -> MutexGuard<'_, Partials> {
        self.partials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retirements(&self) -> MutexGuard<'_, BTreeSet<Name>> {
        self.retirements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Shows a write of jobs to this node's own calls before the watch brings it.
    pub(crate) fn take_in(&self, txn: &Txn) {
        let mut ledger = self.ledger();
        for (key, value) in txn.puts() {
            ledger.on_put(key, value);
        }
        drop(ledger);
        self.on_ledger_change();
    }

    /// Tells those who wait for results or items.
    pub(crate) fn on_ledger_change(&self) {
        self.ledger_changes.send_modify(|count| *count += 1);
        self.batch_wake.notify_one();
    }

    /// Returns the version of the routes in force, if any are.
    pub(crate) fn routes_version(&self) -> Option<u64> {
        self.table.load().as_ref().map(|table| table.version)
    }

    /// Returns whether the balancer may send connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.load().is_some() && !self.leaving.is_cancelled()
    }

    /// Returns whether this node is the one of the live batch nodes that answers for `key`.
    pub(crate) fn owns(&self, key: &str) -> bool {
        let peers = self.peers();
        let live = peers.batch_nodes(self.clock.now_ms()).chain([&self.name]);
        owner_of(key, live) == Some(&self.name)
    }

    /// Takes in an answer of the store.
    pub(crate) fn on_store_answer(&self) {
        let now_ms = self.clock.now_ms();
        self.store_answered_ms
            .store(now_ms.max(1), Ordering::Relaxed);
        if self.metrics.store_reachable.set(1) == 0 {
            log::info!(target: "store", "The store answers.");
        }
        self.registry().on_store_back(now_ms);
    }

    /// Takes in a call that the store did not answer.
    pub(crate) fn on_store_failure(&self, what: &'static str, error: &dyn std::fmt::Display) {
        self.metrics.store_failures.inc();
        self.registry().on_store_lost();
        if self.metrics.store_reachable.set(0) == 1 {
            log::warn!(target: "store", what, error:% = error; "The store does not answer.");
        }
    }

    /// Returns whether what is known from the store is recent.
    pub(crate) fn is_store_fresh(&self) -> bool {
        let answered_ms = self.store_answered_ms.load(Ordering::Relaxed);
        answered_ms > 0 && self.clock.now_ms() < answered_ms + STORE_FRESH_MS
    }

    /// Returns whether the store left the last call unanswered or refused it.
    pub(crate) fn is_store_failing(&self) -> bool {
        self.metrics.store_reachable.get() == 0
    }

    /// Returns whether this node takes items of batch jobs.
    ///
    /// One that alone cannot list results leaves them to the others. While nobody can, all go on and list later.
    pub(crate) fn takes_batch(&self) -> bool {
        let can_list =
            self.is_store_fresh() || !self.peers().is_store_reachable(self.clock.now_ms());
        self.runs_batch
            && self.has_read_jobs.load(Ordering::Relaxed)
            && can_list
            && !self.is_retiring.load(Ordering::Relaxed)
            && !self.leaving.is_cancelled()
    }
}

/// Milliseconds since 1970; 0 for a clock set before then.
pub(crate) fn now_unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
