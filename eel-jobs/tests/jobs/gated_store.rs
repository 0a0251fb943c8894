//! A store client whose calls a test can hold, and a node on it whose clock the test sets.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use eel_jobs::JobNode;
use eel_standin::kv::KvServer;
use eel_store::{
    EtcdJson, KeyValue, Lease, LeaseId, Op, RangeOutcome, RangeRequest, StoreResult, Txn,
    TxnOutcome, WatchOptions,
};
use prometheus_client::{encoding::text::encode, registry::Registry};
use tokio::{sync::watch, task::JoinHandle};

use crate::fixture::{FakeHost, open_store, options};

/// Holds the calls of one kind that start at or after a time.
pub struct Gate {
    held_from_ms: watch::Sender<u64>,
    held_calls: watch::Sender<usize>,
}

impl Gate {
    fn new() -> Self {
        Self {
            held_from_ms: watch::Sender::new(u64::MAX),
            held_calls: watch::Sender::new(0),
        }
    }

    /// Holds the calls that start at or after `from_ms`.
    pub fn hold_from(&self, from_ms: u64) {
        self.held_from_ms.send_replace(from_ms);
    }

    /// Lets all calls continue.
    pub fn open(&self) {
        self.held_from_ms.send_replace(u64::MAX);
    }

    /// Waits until a call is held.
    pub async fn reached(&self) {
        let mut held_calls = self.held_calls.subscribe();
        held_calls.wait_for(|count| *count > 0).await.unwrap();
    }

    async fn pass(&self, started_ms: u64) {
        let mut held_from_ms = self.held_from_ms.subscribe();
        if started_ms < *held_from_ms.borrow() {
            return;
        }
        self.held_calls.send_modify(|count| *count += 1);
        let opened = held_from_ms.wait_for(|from_ms| started_ms < *from_ms);
        opened.await.unwrap();
        self.held_calls.send_modify(|count| *count -= 1);
    }
}

/// The gates of a [`GatedStore`].
pub struct Gates {
    /// Holds responses to lease grants.
    pub grants: Gate,
    /// Holds responses to lease extensions.
    pub renewals: Gate,
    /// Holds writes of claims before they take effect.
    pub claims: Gate,
}

/// A store client with [`Gates`].
pub struct GatedStore {
    inner: EtcdJson,
    clock_ms: Arc<AtomicU64>,
    gates: Arc<Gates>,
}

impl GatedStore {
    fn now_ms(&self) -> u64 {
        self.clock_ms.load(Ordering::Relaxed)
    }
}

impl KeyValue for GatedStore {
    type Watch = <EtcdJson as KeyValue>::Watch;

    async fn range(&self, request: &RangeRequest) -> StoreResult<RangeOutcome> {
        self.inner.range(request).await
    }

    async fn commit(&self, txn: &Txn) -> StoreResult<TxnOutcome> {
        let is_claim = |op: &Op| matches!(op, Op::Put { lease: Some(_), .. });
        if txn.success.iter().any(is_claim) {
            self.gates.claims.pass(self.now_ms()).await;
        }
        self.inner.commit(txn).await
    }

    async fn grant_lease(&self, ttl_ms: u64) -> StoreResult<Lease> {
        let started_ms = self.now_ms();
        let granted = self.inner.grant_lease(ttl_ms).await;
        self.gates.grants.pass(started_ms).await;
        granted
    }

    async fn keep_alive(&self, lease: LeaseId) -> StoreResult<Lease> {
        let started_ms = self.now_ms();
        let extended = self.inner.keep_alive(lease).await;
        self.gates.renewals.pass(started_ms).await;
        extended
    }

    async fn revoke(&self, lease: LeaseId) -> StoreResult<()> {
        self.inner.revoke(lease).await
    }

    fn watch(&self, options: WatchOptions) -> Self::Watch {
        self.inner.watch(options)
    }
}

/// A node that claims chunks through a [`GatedStore`]. Its clock stands at 0 until the test sets it.
pub struct GatedNode {
    pub node: Arc<JobNode<GatedStore, FakeHost>>,
    pub gates: Arc<Gates>,
    clock_ms: Arc<AtomicU64>,
    running: Option<JoinHandle<()>>,
}

impl GatedNode {
    /// Creates the node; [`GatedNode::start`] runs it.
    pub fn new(server: &KvServer, vm: &str, mut host: FakeHost) -> Self {
        let clock_ms = Arc::<AtomicU64>::default();
        host.clock_ms = Some(clock_ms.clone());
        let gates = Arc::new(Gates {
            grants: Gate::new(),
            renewals: Gate::new(),
            claims: Gate::new(),
        });
        let store = GatedStore {
            inner: open_store(server),
            clock_ms: clock_ms.clone(),
            gates: gates.clone(),
        };
        Self {
            node: JobNode::new(options(vm), store, Arc::new(host)),
            gates,
            clock_ms,
            running: None,
        }
    }

    pub fn start(&mut self) {
        let node = self.node.clone();
        self.running = Some(tokio::spawn(async move { node.run().await }));
    }

    pub fn set_clock_ms(&self, now_ms: u64) {
        self.clock_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the value of the counter `name`.
    pub fn counter(&self, name: &str) -> u64 {
        counter(&self.node, name)
    }

    pub async fn drain(self) {
        self.node.start_drain();
        if let Some(running) = self.running {
            running.await.unwrap();
        }
    }
}

/// Returns the value of the counter `name` of `node`.
pub fn counter<S: KeyValue>(node: &Arc<JobNode<S, FakeHost>>, name: &str) -> u64 {
    let mut registry = Registry::default();
    node.metrics().register(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    let prefix = format!("{name}_total ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value.unwrap().parse().unwrap()
}
