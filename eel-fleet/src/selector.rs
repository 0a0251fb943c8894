//! Tracks the load of each target, as this node and its peers count it, and chooses among the targets.
//!
//! The rate of online requests steps up and down by a factor of five within seconds, and batch items fill the slots
//! that they leave. Targets admit requests in order of arrival, so a request is sent only to a target that has a free
//! slot by all counts. For an online request, a slot that a batch item holds counts as free.

use std::collections::HashMap;

use eel_types::Name;
use slotmap::SlotMap;

use crate::{
    TargetEntry, TargetKey,
    health::Health,
    report::{PeerReport, REPORT_TTL_MS, TargetLoad, stable_hash},
};

/// How long a slot must be idle before this node uses it for a batch item, per node that ranks before this one there.
const BATCH_DELAY_STEP_MS: u64 = 100;
/// Upper bound of the idle time required for a batch item, whatever the number of nodes.
const MAX_BATCH_DELAY_MS: u64 = 400;

/// The two kinds of work that share a target's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A request whose caller waits for the response.
    Online,
    /// An item of a batch job, which can be cancelled and resumed.
    Batch,
}

/// What an attempt needs from its target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The kind of work.
    pub work: WorkKind,
    /// The preferred data centre.
    pub data_centre: &'a str,
    /// Targets that must not be chosen, because the request was sent to them before.
    pub excluded: &'a [TargetKey],
    /// Breaks ties between equally ranked targets; differs between requests.
    pub tie_breaker: u64,
}

/// How an attempt ended, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target responded without an error of its own.
    Answered,
    /// The target responded with an error of its own.
    Errored,
    /// The target refused the attempt because it is full.
    Full,
    /// No connection was made, the response was truncated, or the target went silent.
    Failed,
    /// This node cancelled the attempt, which says nothing about the target.
    Cancelled,
}

struct Target {
    entry: TargetEntry,
    hash: u64,
    own: Load,
    peers: Vec<PeerLoad>,
    health: Health,
    /// When a slot became idle by all counts; `None` while all slots are in use.
    idle_since_ms: Option<u64>,
    /// How many live nodes rank before this one for the target's idle slots.
    batch_rank: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    online: u32,
    batch: u32,
}

struct PeerLoad {
    peer: u64,
    load: Load,
    at_ms: u64,
}

/// The targets of all services, with their load and health.
#[derive(Default)]
pub struct TargetSelector {
    targets: SlotMap<TargetKey, Target>,
    by_id: HashMap<Name, TargetKey>,
    services: HashMap<Name, Vec<TargetKey>>,
    sequences: HashMap<u64, u64>,
    /// The nodes that run batch items, this node first.
    batch_nodes: Vec<Name>,
}

impl TargetSelector {
    /// Adds or updates a target. A new incarnation under the same id starts without load.
    pub fn set_target(&mut self, entry: TargetEntry) {
        if let Some(&key) = self.by_id.get(&entry.id) {
            if let Some(target) = self.targets.get_mut(key)
                && target.entry.is_same_incarnation(&entry)
            {
                target.entry = entry;
                return;
            }
            self.remove_target(&entry.id.clone());
        }
        let (id, service) = (entry.id.clone(), entry.service.clone());
        let key = self.targets.insert(Target {
            hash: stable_hash(&entry.id),
            entry,
            own: Load::default(),
            peers: Vec::new(),
            health: Health::default(),
            idle_since_ms: Some(0),
            batch_rank: 0,
        });
        self.update_batch_rank(key);
        self.by_id.insert(id, key);
        self.services.entry(service).or_default().push(key);
    }

    /// Removes a target and its load.
    pub fn remove_target(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        if let Some(target) = self.targets.remove(key)
            && let Some(keys) = self.services.get_mut(&target.entry.service)
        {
            keys.retain(|&it| it != key);
        }
    }

    /// Returns a target's announcement; `None` if the target was removed.
    #[must_use]
    pub fn entry(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key).map(|target| &target.entry)
    }

    /// Chooses the best target that has a slot for `query`; `None` if no target has one.
    #[must_use]
    pub fn choose(&self, now_ms: u64, service: &str, query: &TargetQuery<'_>) -> Option<TargetKey> {
        let keys = self.services.get(service)?;
        let open = keys
            .iter()
            .copied()
            .filter(|key| !query.excluded.contains(key));
        let ranked = open.filter_map(|key| {
            let target = self.targets.get(key)?;
            Some((target.rank(now_ms, query)?, key))
        });
        ranked.min_by_key(|&(rank, _)| rank).map(|(_, key)| key)
    }

    /// Sets the nodes that run batch items: this one, `own`, and the live `others`.
    ///
    /// Each node ranks first at some of the targets, so that two nodes do not take the same idle slot at once.
    pub fn set_batch_nodes(&mut self, own: &Name, others: &[Name]) {
        let nodes: Vec<Name> = [own].into_iter().chain(others).cloned().collect();
        if nodes == self.batch_nodes {
            return;
        }
        self.batch_nodes = nodes;
        for key in self.targets.keys().collect::<Vec<_>>() {
            self.update_batch_rank(key);
        }
    }

    /// Returns whether the service has more idle slots than its online requests may suddenly need.
    ///
    /// The number of online requests varies by about its square root, so that many idle slots are kept for them.
    #[must_use]
    pub fn has_batch_room(&self, now_ms: u64, service: &str) -> bool {
        let keys = self.services.get(service).into_iter().flatten();
        let targets = keys.filter_map(|&key| self.targets.get(key));
        let (mut idle, mut online) = (0, 0);
        for target in targets.filter(|target| target.is_usable(now_ms)) {
            let total = target.total(now_ms);
            idle += target
                .entry
                .slots
                .saturating_sub(total.online + total.batch);
            online += total.online;
        }
        idle > online.isqrt()
    }

    /// Returns the number of slots of a service's usable targets.
    #[must_use]
    pub fn slots(&self, now_ms: u64, service: &str) -> u32 {
        let keys = self.services.get(service).into_iter().flatten();
        let targets = keys.filter_map(|&key| self.targets.get(key));
        targets
            .filter(|it| it.is_usable(now_ms))
            .map(|it| it.entry.slots)
            .sum()
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, now_ms: u64, key: TargetKey, work: WorkKind) {
        if let Some(target) = self.targets.get_mut(key) {
            *target.own.of(work) += 1;
            target.health.on_start(now_ms);
            target.update_idle(now_ms);
        }
    }

    /// Records that the target of an attempt in flight went silent. The attempt goes on.
    pub fn on_silence(&mut self, now_ms: u64, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.health.on_failure(now_ms);
        }
    }

    /// Records that the response to an attempt in flight has started.
    pub fn on_response(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.health.on_response();
        }
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, now_ms: u64, key: TargetKey, work: WorkKind, outcome: AttemptOutcome) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let count = target.own.of(work);
        *count = count.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => target.health.on_end(now_ms, false),
            AttemptOutcome::Errored => target.health.on_end(now_ms, true),
            AttemptOutcome::Full => target.health.on_full(now_ms),
            AttemptOutcome::Failed => target.health.on_failure(now_ms),
            AttemptOutcome::Cancelled => {}
        }
        target.update_idle(now_ms);
    }

    /// Returns how many of this node's batch items at `key` must be cancelled to free slots for online requests.
    ///
    /// Nodes that run batch items at the same target give up slots in the order of their incarnations, so that no more
    /// items than needed are cancelled.
    #[must_use]
    pub fn excess_batch(&self, now_ms: u64, key: TargetKey, incarnation: u64) -> u32 {
        let Some(target) = self.targets.get(key) else {
            return 0;
        };
        let total = target.total(now_ms);
        let excess = (total.online + total.batch).saturating_sub(target.entry.slots);
        let live = target
            .live_peers(now_ms)
            .filter(|peer| peer.peer < incarnation);
        let yielded_by_others: u32 = live.map(|peer| peer.load.batch).sum();
        excess
            .saturating_sub(yielded_by_others)
            .min(target.own.batch)
    }

    /// Applies a peer's report. Returns `false` if it is not newer than the last one applied.
    pub fn on_report(&mut self, now_ms: u64, report: &PeerReport) -> bool {
        let last = self.sequences.entry(report.sender).or_default();
        if report.sequence <= *last {
            return false;
        }
        *last = report.sequence;
        for target in self.targets.values_mut() {
            target.peers.retain(|peer| peer.peer != report.sender);
            if let Some(load) = report.targets.iter().find(|it| it.target == target.hash) {
                target.peers.push(PeerLoad {
                    peer: report.sender,
                    load: Load {
                        online: load.online.into(),
                        batch: load.batch.into(),
                    },
                    at_ms: now_ms,
                });
            }
        }
        self.drop_old_reports(now_ms);
        true
    }

    /// Drops the loads of peers whose last report has expired, and records the slots that become idle by that.
    pub fn drop_old_reports(&mut self, now_ms: u64) {
        for target in self.targets.values_mut() {
            target.peers.retain(|peer| peer.is_live(now_ms));
            target.update_idle(now_ms);
        }
    }

    fn update_batch_rank(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let weight = |node: &Name| stable_hash(&format!("{node} {}", target.entry.id));
        let mut nodes = self.batch_nodes.iter();
        let own = nodes.next().map(weight);
        let before = nodes.filter(|node| Some(weight(node)) > own);
        target.batch_rank = before.count() as u64;
    }

    /// Returns this node's load at each target where it has an attempt in flight.
    #[must_use]
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let busy = self
            .targets
            .values()
            .filter(|it| it.own.online + it.own.batch > 0);
        busy.map(|target| TargetLoad {
            target: target.hash,
            online: u16::try_from(target.own.online).unwrap_or(u16::MAX),
            batch: u16::try_from(target.own.batch).unwrap_or(u16::MAX),
        })
        .collect()
    }
}

/// The rank of a target for an attempt. Lower is better, and a field takes precedence over all fields after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_suspect: bool,
    takes_batch_slot: bool,
    is_remote: bool,
    load: u32,
    /// Breaks ties between targets that are otherwise equal.
    tie: u64,
}

impl Target {
    fn rank(&self, now_ms: u64, query: &TargetQuery<'_>) -> Option<Rank> {
        if !self.is_usable(now_ms) {
            return None;
        }
        let total = self.total(now_ms);
        let load = total.online + total.batch;
        let takes_batch_slot = load >= self.entry.slots;
        let has_room = match query.work {
            WorkKind::Online => total.online < self.entry.slots,
            WorkKind::Batch => self.may_start_batch(now_ms),
        };
        let is_remote = *self.entry.data_centre != *query.data_centre;
        let tie = self.hash.rotate_left(17) ^ query.tie_breaker.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        has_room.then_some(Rank {
            is_suspect: self.health.is_suspect(now_ms),
            takes_batch_slot,
            is_remote,
            load,
            tie,
        })
    }

    /// Returns whether a slot has been idle long enough for this node to use it for a batch item.
    fn may_start_batch(&self, now_ms: u64) -> bool {
        let wait_ms = (self.batch_rank * BATCH_DELAY_STEP_MS).min(MAX_BATCH_DELAY_MS);
        self.idle_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + wait_ms)
    }

    fn update_idle(&mut self, now_ms: u64) {
        let total = self.total(now_ms);
        let is_idle = total.online + total.batch < self.entry.slots;
        self.idle_since_ms = is_idle.then(|| self.idle_since_ms.unwrap_or(now_ms));
    }

    fn is_usable(&self, now_ms: u64) -> bool {
        !self.entry.is_draining && self.health.is_usable(now_ms)
    }

    fn total(&self, now_ms: u64) -> Load {
        let mut total = self.own;
        for peer in self.live_peers(now_ms) {
            total.online += peer.load.online;
            total.batch += peer.load.batch;
        }
        total
    }

    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = &PeerLoad> {
        self.peers.iter().filter(move |peer| peer.is_live(now_ms))
    }
}

impl PeerLoad {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms + REPORT_TTL_MS
    }
}

impl Load {
    fn of(&mut self, work: WorkKind) -> &mut u32 {
        match work {
            WorkKind::Online => &mut self.online,
            WorkKind::Batch => &mut self.batch,
        }
    }
}
