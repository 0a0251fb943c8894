//! The targets with their load, as this node and its peers count it, and the choice among them.
//!
//! The load that this answers: steps of online requests of five to one within seconds, with batch filling what they
//! leave. Targets admit in order of arrival, so a request is sent only where a slot is free by all counts. An online
//! request counts a slot under a batch item as free.

use std::collections::HashMap;

use eel_types::Name;
use slotmap::SlotMap;

use crate::{
    TargetEntry, TargetKey,
    health::Health,
    report::{PeerReport, REPORT_TTL_MS, TargetLoad, stable_hash},
};

/// How long a slot stays idle before a node takes it for batch whose target it is not, by how many nodes go first.
const BATCH_DELAY_STEP_MS: u64 = 100;
/// The longest such time.
const MAX_BATCH_DELAY_MS: u64 = 400;

/// The two kinds of work that share a target's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A caller waits for the answer.
    Online,
    /// An item of a batch job, which can be broken off and resumed.
    Batch,
}

/// What an attempt asks of its target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The kind of work.
    pub work: WorkKind,
    /// The data centre to prefer.
    pub data_centre: &'a str,
    /// Targets that the request has met already.
    pub excluded: &'a [TargetKey],
    /// Spreads equal choices.
    pub tie_breaker: u64,
}

/// How an attempt ended, by what it says of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered,
    /// The target answered that it failed.
    Errored,
    /// The target refused because it is full.
    Full,
    /// No connection, a broken answer, or silence.
    Failed,
    /// This node broke the attempt off; says nothing of the target.
    Cancelled,
}

struct Target {
    entry: TargetEntry,
    hash: u64,
    own: Load,
    peers: Vec<PeerLoad>,
    health: Health,
    /// Since when a slot has been idle by all counts.
    idle_since_ms: Option<u64>,
    /// How many live nodes go before this one in taking its slots for batch.
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

/// The targets with their load.
#[derive(Default)]
pub struct TargetSelector {
    targets: SlotMap<TargetKey, Target>,
    by_id: HashMap<Name, TargetKey>,
    services: HashMap<Name, Vec<TargetKey>>,
    sequences: HashMap<u64, u64>,
    /// The nodes that run batch, this one first.
    batch_nodes: Vec<Name>,
}

impl TargetSelector {
    /// Adds or updates a target. Another incarnation under the same id starts without load.
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

    /// Removes a target.
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

    /// Returns what a target announced.
    #[must_use]
    pub fn entry(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key).map(|target| &target.entry)
    }

    /// Chooses a target with a slot for `query`, if there is one.
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

    /// Says which nodes run batch: this one, `own`, and the live `others`.
    ///
    /// Each node goes first at some of the targets, so that two nodes do not take one idle slot at the same moment.
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

    /// Returns whether the service has more idle slots than its online requests may need at once.
    ///
    /// Their number varies by about its root, so that many slots are left to them.
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

    /// Returns the slots of a service's usable targets.
    #[must_use]
    pub fn slots(&self, now_ms: u64, service: &str) -> u32 {
        let keys = self.services.get(service).into_iter().flatten();
        let targets = keys.filter_map(|&key| self.targets.get(key));
        targets
            .filter(|it| it.is_usable(now_ms))
            .map(|it| it.entry.slots)
            .sum()
    }

    /// Counts an attempt in flight.
    pub fn start(&mut self, now_ms: u64, key: TargetKey, work: WorkKind) {
        if let Some(target) = self.targets.get_mut(key) {
            *target.own.of(work) += 1;
            target.health.on_start(now_ms);
            target.update_idle(now_ms);
        }
    }

    /// Takes in that an attempt in flight has met silence, without ending it.
    pub fn on_silence(&mut self, now_ms: u64, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.health.on_failure(now_ms);
        }
    }

    /// Takes in a sign of life of an attempt in flight.
    pub fn on_response(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.health.on_response();
        }
    }

    /// Ends an attempt.
    pub fn end(&mut self, now_ms: u64, key: TargetKey, work: WorkKind, end: AttemptOutcome) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let count = target.own.of(work);
        *count = count.saturating_sub(1);
        match end {
            AttemptOutcome::Answered => target.health.on_end(now_ms, false),
            AttemptOutcome::Errored => target.health.on_end(now_ms, true),
            AttemptOutcome::Full => target.health.on_full(now_ms),
            AttemptOutcome::Failed => target.health.on_failure(now_ms),
            AttemptOutcome::Cancelled => {}
        }
        target.update_idle(now_ms);
    }

    /// Returns how many of this node's batch items at `key` have to make room, of `own` that it runs there.
    ///
    /// Nodes that hold batch items at the same target yield in the order of their incarnations, so that only as many
    /// items as needed are broken off.
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

    /// Takes in a peer's report. Returns `false` if a newer one came before.
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

    /// Drops what silent peers reported long ago, and notes the slots that are idle without it.
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

    /// Returns what this node has in flight.
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

/// Orders targets for a query, the best first; an earlier field counts before all later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_suspect: bool,
    takes_batch_slot: bool,
    is_far: bool,
    load: u32,
    /// Spreads equal choices.
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
        let is_far = *self.entry.data_centre != *query.data_centre;
        let tie = self.hash.rotate_left(17) ^ query.tie_breaker.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        has_room.then_some(Rank {
            is_suspect: self.health.is_suspect(now_ms),
            takes_batch_slot,
            is_far,
            load,
            tie,
        })
    }

    /// Returns whether a slot has been idle long enough for this node to take it for batch.
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
