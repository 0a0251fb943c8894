//! Decides which idle slots this node uses for batch items, and when items give way.

use eel_types::Name;

use super::{TargetSelector, target::Target};
use crate::{TargetKey, rendezvous};

/// How long a slot must be idle before this node uses it for a batch item, per node that ranks before this one there.
const BATCH_DELAY_STEP_MS: u64 = 100;
/// Upper bound of the idle time required for a batch item, whatever the number of nodes.
const MAX_BATCH_DELAY_MS: u64 = 400;
/// The part of a service's slots that is kept idle at the most for the sake of the number of nodes: an eighth.
const MAX_RESERVE_DIVISOR: u32 = 8;

impl TargetSelector {
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
    /// The number of online requests varies by about its square root, so that many idle slots are kept for them; and one
    /// for each node, so that several nodes rarely choose the same one, but not more than a part of all slots.
    #[must_use]
    pub fn has_batch_room(&self, now_ms: u64, service: &str) -> bool {
        let keys = self.services.get(service).into_iter().flatten();
        let targets = keys.filter_map(|&key| self.targets.get(key));
        let (mut idle, mut online, mut slots) = (0, 0, 0);
        for target in targets.filter(|target| target.is_usable(now_ms)) {
            slots += target.entry.slots;
            idle += target.idle_slots(now_ms, &self.limits);
            online += target.total(now_ms).online;
        }
        let nodes = u32::try_from(self.live_senders(now_ms)).unwrap_or(u32::MAX);
        idle > online.isqrt().max(nodes.min(slots / MAX_RESERVE_DIVISOR))
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

    pub(super) fn update_batch_rank(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some((own, others)) = self.batch_nodes.split_first() else {
            return;
        };
        target.batch_rank = rendezvous::rank(own, others, &target.entry.id);
    }
}

impl Target {
    /// Returns whether a slot has been idle long enough for this node to use it for a batch item.
    pub(super) fn may_start_batch(&self, now_ms: u64) -> bool {
        let wait_ms = (self.batch_rank * BATCH_DELAY_STEP_MS).min(MAX_BATCH_DELAY_MS);
        self.idle_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + wait_ms)
    }
}
