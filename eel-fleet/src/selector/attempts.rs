//! Records the start, the progress and the end of this node's attempts.

use super::{Placement, TargetSelector};
use crate::{TargetEntry, TargetKey, speed::Observation};

/// The two kinds of work that share a target's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A request whose caller waits for the response.
    Online,
    /// An item of a batch job, which can be cancelled and resumed.
    Batch,
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

impl TargetSelector {
    /// Records the start of an attempt.
    pub fn start(&mut self, now_ms: u64, key: TargetKey, work: WorkKind) {
        if let Some(target) = self.targets.get_mut(key) {
            self.limits.on_start(now_ms, target.incarnation);
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
        self.warm_up_bad(now_ms, key);
    }

    /// Records that the response to an attempt in flight has started.
    pub fn on_response(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.health.on_response();
            target.has_answered = true;
        }
    }

    /// Records what an online request has observed of its target's speed. Returns whether the settings make use of it.
    pub fn observe(&mut self, now_ms: u64, key: TargetKey, observation: Observation) -> bool {
        if self.placement == Placement::default() {
            return false;
        }
        let Some(target) = self.targets.get(key) else {
            return false;
        };
        let service = &target.entry.service;
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        self.speeds.observe(now_ms, service, keys, key, observation);
        self.warm_up_response(now_ms, key, observation);
        true
    }

    /// Records that the target of `entry` has said that it is leaving. Its incarnation gets no further attempts, whatever
    /// its entry becomes; it need not be listed any more. Returns `false` if that was known.
    pub fn on_leaving(&mut self, now_ms: u64, entry: &TargetEntry) -> bool {
        if self.leaving.contains(entry) {
            return false;
        }
        let by_id = &self.by_id;
        self.leaving
            .insert(now_ms, entry, |id| by_id.contains_key(id));
        let listed = self.by_id.get(&entry.id);
        if let Some(target) = listed.and_then(|&key| self.targets.get_mut(key)) {
            target.is_leaving = self.leaving.contains(&target.entry);
        }
        true
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, now_ms: u64, key: TargetKey, work: WorkKind, outcome: AttemptOutcome) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let count = target.own.of(work);
        *count = count.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => {
                target.health.on_end(now_ms, false);
                target.has_answered = true;
            }
            AttemptOutcome::Errored => target.health.on_end(now_ms, true),
            AttemptOutcome::Full => target.health.on_full(now_ms),
            AttemptOutcome::Failed => target.health.on_failure(now_ms),
            AttemptOutcome::Cancelled => {}
        }
        target.update_idle(now_ms);
        match outcome {
            AttemptOutcome::Errored | AttemptOutcome::Full | AttemptOutcome::Failed => {
                self.warm_up_bad(now_ms, key);
            }
            AttemptOutcome::Answered | AttemptOutcome::Cancelled => {}
        }
    }
}
