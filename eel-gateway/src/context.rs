//! State shared by all tasks of the node.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwapOption;
use eel_fleet::{Peers, Placement, Registry};
use eel_ledger::{Ledger, Partials, owner_of};
use eel_platform::PlatformStore;
use eel_quarantine::{Quarantine, Scope};
use eel_store::Txn;
use eel_table::RouteTable;
use eel_types::{Clock, Name, Revision};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    caller_limits::CallerLimits,
    http::{Connections, LogLimit, Memory},
    metrics::Metrics,
    origins::OriginState,
    quotas::Quotas,
    slots::Slots,
    target::Pool,
};

/// How long data from the store counts as fresh after the store's last response, in ms: two lease renewals and the time
/// of one call.
const STORE_FRESH_MS: u64 = 2_500;

/// How long after a renewal of its lease a node tells its peers that it reaches the store, in ms: the interval of renewals
/// and the time of one call.
const LEASE_CONTACT_MS: u64 = 1_000;

/// State shared by all tasks of the node.
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
    /// Whether the operator's newest routes cannot be decoded, so that `table` is older.
    pub(crate) has_unread_routes: AtomicBool,
    /// Notifies waiting requests that another route table is in force, which may have revoked their keys.
    pub(crate) routes_changes: watch::Sender<()>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) quotas: Quotas,
    /// The memory of callers' bodies and unread responses.
    pub(crate) memory: Arc<Memory>,
    /// The connections of callers.
    pub(crate) connections: Arc<Connections>,
    /// Bounds the lines about connections that cannot be accepted.
    pub(crate) accept_log: LogLimit,
    /// Bounds the lines about connections that are closed for new ones.
    pub(crate) closed_log: LogLimit,
    registry: Mutex<Registry>,
    peers: Mutex<Peers>,
    blocked_parts: Mutex<Quarantine>,
    blocked_requests: Mutex<Quarantine>,
    /// Notified when peers should get a notice at once.
    pub(crate) quarantine_changed: Notify,
    pub(crate) origins: OriginState,
    ledger: Mutex<Ledger>,
    /// The newest store revision that this node may have shown to callers.
    shown_revision: AtomicU64,
    partials: Mutex<Partials>,
    /// The sequence number of the next write of saved progress.
    pub(crate) save_sequence: AtomicU64,
    /// The number of load reports that were sent.
    pub(crate) report_sequence: AtomicU64,
    /// Whether this node has read all jobs and the saved progress of their items; only nodes with batch enabled do so.
    pub(crate) has_read_jobs: AtomicBool,
    /// The number of changes of the ledger; notifies result calls that wait.
    pub(crate) ledger_changes: watch::Sender<u64>,
    /// Notified when a slot may have become free or has to be released.
    pub(crate) batch_wake: Notify,
    /// Notified when the node's entry has been removed from the store.
    pub(crate) entry_lost: Notify,
    /// The time of the store's last response, in ms on `clock`; 0 before the first one.
    store_responded_ms: AtomicU64,
    /// When the node's lease was last renewed, in ms on `clock`; 0 before the first time.
    lease_renewed_ms: AtomicU64,
    /// Nodes that the operator wants to retire and that this node has not yet reported empty.
    retirements: Mutex<BTreeSet<Name>>,
    /// The size of the texts of unfinished items when they were last counted, and what was added or started since: at least
    /// what they hold.
    pub(crate) text_bytes: AtomicUsize,
    /// The maximum size of the texts of unfinished items.
    pub(crate) max_text_bytes: usize,
    /// Whether the operator wants to retire this node.
    pub(crate) is_retiring: AtomicBool,
    /// Cancelled when the node starts to drain; the node is not ready from then on.
    pub(crate) draining: CancellationToken,
    /// When the drain times out; empty until the listener for callers is closed.
    drain_end: OnceLock<Instant>,
    /// Cancelled when the drain times out; requests without a response are refused from then on.
    pub(crate) refusing: CancellationToken,
}

/// Identity and settings from which a [`Context`] is created.
pub(crate) struct ContextOptions {
    pub(crate) name: Name,
    pub(crate) data_centre: Name,
    pub(crate) runs_batch: bool,
    pub(crate) placement: Placement,
    pub(crate) store: PlatformStore,
    pub(crate) prefix: Name,
    pub(crate) caller_limits: CallerLimits,
}

impl Context {
    pub(crate) fn new(options: ContextOptions) -> Self {
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::default());
        let keys = eel_ledger::Keys::new(options.prefix.clone());
        let origins = OriginState::new(options.prefix.clone());
        let caller_limits = options.caller_limits;
        Self {
            name: options.name,
            clock,
            incarnation: rand::random(),
            token: rand::random(),
            runs_batch: options.runs_batch,
            slots: Slots::new(
                clock,
                options.data_centre,
                options.placement,
                metrics.clone(),
            ),
            pool: Pool::default(),
            store: options.store,
            prefix: options.prefix,
            table: ArcSwapOption::empty(),
            has_unread_routes: AtomicBool::new(false),
            routes_changes: watch::channel(()).0,
            memory: Memory::new(caller_limits.body_bytes, clock, metrics.clone()),
            connections: Connections::new(caller_limits.connections, clock),
            text_bytes: AtomicUsize::default(),
            max_text_bytes: caller_limits.text_bytes,
            accept_log: LogLimit::default(),
            closed_log: LogLimit::default(),
            metrics,
            quotas: Quotas::default(),
            registry: Mutex::default(),
            peers: Mutex::default(),
            blocked_parts: Mutex::new(Quarantine::new(Scope::Parts)),
            blocked_requests: Mutex::new(Quarantine::new(Scope::Requests)),
            quarantine_changed: Notify::new(),
            origins,
            ledger: Mutex::new(Ledger::new(keys)),
            shown_revision: AtomicU64::new(0),
            partials: Mutex::default(),
            save_sequence: AtomicU64::new(0),
            report_sequence: AtomicU64::new(0),
            has_read_jobs: AtomicBool::new(false),
            ledger_changes: watch::channel(0).0,
            batch_wake: Notify::new(),
            entry_lost: Notify::new(),
            store_responded_ms: AtomicU64::new(0),
            lease_renewed_ms: AtomicU64::new(0),
            retirements: Mutex::default(),
            is_retiring: AtomicBool::new(false),
            draining: CancellationToken::new(),
            drain_end: OnceLock::new(),
            refusing: CancellationToken::new(),
        }
    }

    pub(crate) fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn quarantine(&self, scope: Scope) -> MutexGuard<'_, Quarantine> {
        let quarantine = match scope {
            Scope::Parts => &self.blocked_parts,
            Scope::Requests => &self.blocked_requests,
        };
        quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn partials(&self) -> MutexGuard<'_, Partials> {
        self.partials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retirements(&self) -> MutexGuard<'_, BTreeSet<Name>> {
        self.retirements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a committed write to the ledger at once, so that calls to this node see it before the watch delivers it.
    pub(crate) fn apply_own_write(&self, txn: &Txn) {
        let mut ledger = self.ledger();
        for (key, value) in txn.puts() {
            ledger.on_put(key, value);
        }
        drop(ledger);
        self.on_ledger_change();
    }

    /// Records a change of the store that callers may see from now on.
    pub(crate) fn on_change(&self, revision: Revision) {
        self.shown_revision.fetch_max(revision.0, Ordering::Relaxed);
    }

    /// Records that the listener for callers is closed, and when the drain times out.
    pub(crate) fn on_closing(&self, drain_end: Instant) {
        // A drain happens once.
        let _ = self.drain_end.set(drain_end);
    }

    /// Returns whether this node may end before a request that may take until `deadline`, and that other nodes accept now.
    pub(crate) fn may_end_before(&self, deadline: Instant) -> bool {
        self.drain_end.get().is_some_and(|end| *end < deadline)
    }

    /// Returns the newest store revision that this node may have shown to callers.
    pub(crate) fn shown_revision(&self) -> Revision {
        Revision(self.shown_revision.load(Ordering::Relaxed))
    }

    /// Wakes the calls that wait for results and the batch worker.
    pub(crate) fn on_ledger_change(&self) {
        self.ledger_changes.send_modify(|count| *count += 1);
        self.batch_wake.notify_one();
    }

    /// Returns the version of the route table in force; `None` before the first one is read.
    pub(crate) fn routes_version(&self) -> Option<u64> {
        self.table.load().as_ref().map(|table| table.version)
    }

    /// Returns whether the load balancer may send connections to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.load().is_some() && !self.draining.is_cancelled()
    }

    /// Returns whether this node owns `key` among the live batch nodes.
    pub(crate) fn is_owner_of(&self, key: &str) -> bool {
        let peers = self.peers();
        let live = peers.batch_nodes(self.clock.now_ms()).chain([&self.name]);
        owner_of(key, live) == Some(&self.name)
    }

    /// Records a response from the store.
    pub(crate) fn on_store_response(&self) {
        let now_ms = self.clock.now_ms();
        self.store_responded_ms
            .store(now_ms.max(1), Ordering::Relaxed);
        if self.metrics.store_reachable.set(1) == 0 {
            log::info!(target: "store", "The store is reachable.");
        }
    }

    /// Records that the store has renewed this node's lease, or could have.
    pub(crate) fn on_lease_renewed(&self) {
        let now_ms = self.clock.now_ms();
        self.lease_renewed_ms
            .store(now_ms.max(1), Ordering::Relaxed);
        self.registry().on_lease_renewed(now_ms, now_ms);
    }

    /// Records that a peer's lease has been renewed within [`LEASE_CONTACT_MS`].
    pub(crate) fn on_peer_lease_renewed(&self) {
        let now_ms = self.clock.now_ms();
        let from_ms = now_ms.saturating_sub(LEASE_CONTACT_MS);
        self.registry().on_lease_renewed(from_ms, now_ms);
    }

    /// Records a failed call to the store; `what` names the operation in the log.
    pub(crate) fn on_store_failure(&self, what: &'static str, error: &dyn std::fmt::Display) {
        self.metrics.store_failures.inc();
        if self.metrics.store_reachable.set(0) == 1 {
            log::warn!(target: "store", what, error:% = error; "A call to the store failed; the store counts as unreachable.");
        }
    }

    /// Returns whether the store has responded recently enough for its data to count as fresh.
    pub(crate) fn is_store_fresh(&self) -> bool {
        let responded_ms = self.store_responded_ms.load(Ordering::Relaxed);
        responded_ms > 0 && self.clock.now_ms() < responded_ms + STORE_FRESH_MS
    }

    /// Returns whether the node's lease has been renewed within [`LEASE_CONTACT_MS`].
    pub(crate) fn reaches_store(&self) -> bool {
        let renewed_ms = self.lease_renewed_ms.load(Ordering::Relaxed);
        renewed_ms > 0 && self.clock.now_ms() < renewed_ms + LEASE_CONTACT_MS
    }

    /// Returns whether the last call to the store failed or none has succeeded yet.
    pub(crate) fn is_store_failing(&self) -> bool {
        self.metrics.store_reachable.get() == 0
    }

    /// Returns whether this node may run items of batch jobs.
    ///
    /// A node that cannot reach the store, and so cannot list results, leaves the items to peers that can. If no node
    /// reaches the store, all nodes keep running items and list the results later.
    pub(crate) fn takes_batch(&self) -> bool {
        let can_list =
            self.is_store_fresh() || !self.peers().is_store_reachable(self.clock.now_ms());
        self.runs_batch
            && self.has_read_jobs.load(Ordering::Relaxed)
            && can_list
            && !self.leaves_batch_to_others()
            && !self.draining.is_cancelled()
    }

    /// Returns whether this node is to retire and another one, which is not to, runs items. Until then it runs them itself.
    pub(crate) fn leaves_batch_to_others(&self) -> bool {
        if !self.is_retiring.load(Ordering::Relaxed) {
            return false;
        }
        let retiring = self.retirements().clone();
        let peers = self.peers();
        let mut others = peers.batch_nodes(self.clock.now_ms());
        others.any(|it| !retiring.contains(it))
    }
}

/// Returns the system time in ms since the Unix epoch; 0 if the clock is set before it.
pub(crate) fn now_unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
