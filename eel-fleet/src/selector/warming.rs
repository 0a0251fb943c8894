//! Decides which targets warm up, and whether one of them may get an attempt.

use eel_types::Name;

use super::{TargetQuery, TargetSelector, attempts::WorkKind, target::Target};
use crate::{
    TargetKey,
    speed::Observation,
    warm_up::{MIN_FAILURES, WarmUp, WarmUpChange, WarmUpStep},
};

/// The number of changes that are kept for the log; more are dropped.
const MAX_CHANGES: usize = 64;

impl TargetSelector {
    /// Returns the targets that have begun or ended to warm up since the last call.
    pub fn take_warm_up_changes(&mut self) -> Vec<WarmUpChange> {
        std::mem::take(&mut self.warm_up_changes)
    }

    /// Returns the number of targets that warm up.
    #[must_use]
    pub fn warming_targets(&self) -> usize {
        self.warming
    }

    /// Lets a target warm up that has just been listed, if others of its service are established.
    pub(super) fn warm_up_new(&mut self, now_ms: u64, key: TargetKey) {
        if self.placement.warm_up && self.has_established(now_ms, key) {
            self.begin_warm_up(now_ms, key, WarmUpStep::Started);
        }
    }

    /// Records a failure or refusal. Lets the target warm up if it has failed several times and others are established.
    pub(super) fn warm_up_bad(&mut self, now_ms: u64, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key).filter(|_| self.placement.warm_up) else {
            return;
        };
        if let Some(warm_up) = &mut target.warm_up {
            warm_up.on_bad(now_ms);
        } else if target.health.failures() >= MIN_FAILURES && self.has_established(now_ms, key) {
            self.begin_warm_up(now_ms, key, WarmUpStep::Failed);
        }
    }

    /// Records what a request has observed of a target that warms up.
    pub(super) fn warm_up_response(
        &mut self,
        now_ms: u64,
        key: TargetKey,
        observation: Observation,
    ) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if let Some(warm_up) = &mut target.warm_up
            && observation.is_first()
        {
            let service = &target.entry.service;
            let ratio = self
                .speeds
                .ratio_per_1000(now_ms, service, key, observation);
            warm_up.on_response(now_ms, ratio);
            self.end_warm_up(now_ms, key);
        }
    }

    /// Ends the warm-up of the targets of a service about which nothing has been learned for long.
    pub(super) fn end_untested(&mut self, now_ms: u64) {
        if self.warming > 0 {
            for key in self.targets.keys().collect::<Vec<_>>() {
                self.end_warm_up(now_ms, key);
            }
        }
    }

    /// Returns whether any of the targets is established and all restrictions of the others hold.
    pub(super) fn restricts(
        &self,
        now_ms: u64,
        keys: &[TargetKey],
        query: &TargetQuery<'_>,
    ) -> bool {
        let mut targets = keys.iter().filter_map(|&key| self.targets.get(key));
        self.warming > 0
            && query.work == WorkKind::Online
            && targets.any(|it| it.is_established(now_ms))
    }

    fn has_established(&self, now_ms: u64, key: TargetKey) -> bool {
        let service: Option<&Name> = self.targets.get(key).map(|it| &it.entry.service);
        let keys = service.and_then(|it| self.services.get(it));
        let others = keys.into_iter().flatten().filter(|it| **it != key);
        let mut others = others.filter_map(|&it| self.targets.get(it));
        others.any(|it| it.is_established(now_ms))
    }

    fn begin_warm_up(&mut self, now_ms: u64, key: TargetKey, step: WarmUpStep) {
        if let Some(target) = self.targets.get_mut(key) {
            target.warm_up = Some(WarmUp::new(now_ms, target.entry.slots));
            self.warming += 1;
            self.note(WarmUpChange { key, step });
        }
    }

    fn end_warm_up(&mut self, now_ms: u64, key: TargetKey) {
        let target = self.targets.get_mut(key);
        if let Some(target) = target
            && let Some(step) = target.warm_up.and_then(|it| it.end(now_ms))
        {
            target.warm_up = None;
            self.warming -= 1;
            self.note(WarmUpChange { key, step });
        }
    }

    fn note(&mut self, change: WarmUpChange) {
        if self.warm_up_changes.len() < MAX_CHANGES {
            self.warm_up_changes.push(change);
        }
    }
}

impl Target {
    /// Returns whether the target has answered and neither warms up nor is to be avoided.
    fn is_established(&self, now_ms: u64) -> bool {
        self.has_answered && self.warm_up.is_none() && self.is_usable(now_ms)
    }

    /// Returns whether the target warms up and may not get the attempt while others have a slot for it.
    pub(super) fn is_held(&self, now_ms: u64, nodes: u32, draw: u64) -> bool {
        let own = self.own.online + self.own.batch;
        self.warm_up.is_some_and(|it| {
            let total = self.total(now_ms);
            !it.admits(own, total.online + total.batch, nodes, draw)
        })
    }
}
