//! Tracks the load of each target, as this node and its peers count it, and chooses among the targets.
//!
//! The rate of online requests steps up and down by a factor of five within seconds, and batch items fill the slots
//! that they leave. Targets admit requests in order of arrival, so a request is sent only to a target that has a free
//! slot by all counts. For an online request, a slot that a batch item holds counts as free.
//!
//! [`choice`] ranks the targets for an attempt, [`attempts`] records what attempts show, [`peer_loads`] applies what peers
//! report, [`batch_share`] decides what is left to batch items, [`capacity`] sums up what a service can take, and [`limits`]
//! passes on the rates that targets name.

mod attempts;
mod batch_share;
mod capacity;
mod choice;
mod limits;
mod peer_loads;
mod target;
mod warming;

use std::collections::HashMap;

use eel_types::Name;
use slotmap::SlotMap;

pub use self::{
    attempts::{AttemptOutcome, WorkKind},
    capacity::Capacity,
    choice::TargetQuery,
};
use self::{
    peer_loads::Sender,
    target::{Load, Target},
};
use crate::{
    TargetEntry, TargetKey, health::Health, leaving::LeavingTargets, limit::LimitTable,
    report::stable_hash, speed::SpeedTable, warm_up::WarmUpChange,
};

/// What the choice of a target takes into account besides load and health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Whether online requests prefer targets that have been faster than others.
    pub speed_aware: bool,
    /// Whether a target that has just started or recovered gets a small share first.
    pub warm_up: bool,
}

/// The targets of all services, with their load and health.
#[derive(Default)]
pub struct TargetSelector {
    targets: SlotMap<TargetKey, Target>,
    by_id: HashMap<Name, TargetKey>,
    services: HashMap<Name, Vec<TargetKey>>,
    by_hash: HashMap<u64, TargetKey>,
    by_incarnation: HashMap<u64, TargetKey>,
    senders: HashMap<u64, Sender>,
    leaving: LeavingTargets,
    limits: LimitTable,
    /// When expired reports were last dropped.
    expired_ms: u64,
    /// The nodes that run batch items, this node first.
    batch_nodes: Vec<Name>,
    placement: Placement,
    /// Empty unless `placement` needs it.
    speeds: SpeedTable,
    /// The number of targets that warm up.
    warming: usize,
    warm_up_changes: Vec<WarmUpChange>,
}

impl TargetSelector {
    /// Sets what the choice of a target takes into account.
    pub fn set_placement(&mut self, placement: Placement) {
        self.placement = placement;
    }

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
        let incarnation = entry.incarnation();
        let key = self.targets.insert(Target {
            hash: stable_hash(&entry.id),
            incarnation,
            is_leaving: self.leaving.contains(&entry),
            entry,
            own: Load::default(),
            peers: Vec::new(),
            health: Health::default(),
            idle_since_ms: Some(0),
            batch_rank: 0,
            has_answered: false,
            warm_up: None,
        });
        self.update_batch_rank(key);
        self.by_hash.insert(stable_hash(&id), key);
        self.by_incarnation.insert(incarnation, key);
        self.by_id.insert(id, key);
        self.services.entry(service).or_default().push(key);
    }

    /// Like [`Self::set_target`] for a target that is listed now, which may have just started.
    pub fn list_target(&mut self, now_ms: u64, entry: TargetEntry) {
        let id = entry.id.clone();
        let former = self.by_id.get(&id).copied();
        self.set_target(entry);
        let listed = self.by_id.get(&id).copied();
        if let Some(key) = listed.filter(|_| listed != former) {
            self.warm_up_new(now_ms, key);
        }
    }

    /// Removes a target and its load.
    pub fn remove_target(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        self.warming -= usize::from(target.warm_up.is_some());
        self.speeds.remove(key);
        self.by_hash.remove(&target.hash);
        self.by_incarnation.remove(&target.incarnation);
        if let Some(keys) = self.services.get_mut(&target.entry.service) {
            keys.retain(|&it| it != key);
        }
    }

    /// Returns a target's announcement; `None` if the target was removed.
    #[must_use]
    pub fn entry(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key).map(|target| &target.entry)
    }

    /// Returns whether a target is listed and not about to leave.
    #[must_use]
    pub fn stays(&self, key: TargetKey) -> bool {
        self.targets.get(key).is_some_and(Target::stays)
    }

    /// Returns whether a target of `version` is listed that is not excluded and not about to leave, whether it can be used
    /// now or not.
    #[must_use]
    pub fn lists_version(&self, service: &str, version: &Name, excluded: &[TargetKey]) -> bool {
        let keys = self.services.get(service).into_iter().flatten();
        let open = keys.filter(|key| !excluded.contains(key));
        let mut targets = open.filter_map(|&key| self.targets.get(key));
        targets.any(|it| it.has_version(Some(version)) && it.stays())
    }

    /// Returns whether a target of the service is listed that is not about to leave, whether it can be used now or not.
    #[must_use]
    pub fn lists_service(&self, service: &str) -> bool {
        let keys = self.services.get(service).into_iter().flatten();
        let mut targets = keys.filter_map(|&key| self.targets.get(key));
        targets.any(Target::stays)
    }

    /// Returns the target of the incarnation with this hash; `None` if it is not listed.
    #[must_use]
    pub fn key_of(&self, incarnation: u64) -> Option<TargetKey> {
        self.by_incarnation.get(&incarnation).copied()
    }
}
