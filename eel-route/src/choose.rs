//! The choice of a target for one attempt.

use eel_types::Class;
use eel_verdict::{Reason, Refusal};
use rand::Rng;

use crate::{
    BreakerState, Pool, TargetKey,
    load::MIN_RETRY_AFTER_MS,
    policy::{Candidate, Margins},
    prefix::CachedAt,
    target::Target,
};

/// Ratio of a target's time to first byte to its pool's median up to which the target does not count as slow.
const TOLERATED_SLOWNESS: f32 = 1.5;

/// Upper bound of the factor by which slowness raises a target's cost.
const MAX_SLOWNESS: f32 = 8.0;

/// What an attempt needs from its target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The priority class of the request.
    pub class: Class,
    /// The hash of the prompt prefix that the engine may have cached; `None` if the request has no prompt.
    pub prefix_hash: Option<u64>,
    /// Whether the request may run more than once. A request that may not probes a failed target only if no other is
    /// usable.
    pub repeatable: bool,
    /// Targets that must not be chosen, because the request was sent to them before.
    pub excluded: &'a [TargetKey],
}

impl Target {
    /// Returns `true` if the target may get an attempt, regardless of its load.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        let open = matches!(
            self.breaker.state(now_ms),
            BreakerState::Open { .. } | BreakerState::HalfOpen { probing: true }
        );
        !self.leaving && !open
    }

    fn needs_probe(&self, now_ms: u64) -> bool {
        self.breaker.state(now_ms) == BreakerState::HalfOpen { probing: false }
    }
}

impl Pool {
    /// Chooses the target of the next attempt. A call of [`Pool::start`] must follow.
    ///
    /// # Errors
    ///
    /// Refuses the request with the verdict not-run and a retry delay: `Overloaded` if every usable target is full or,
    /// for the batch class, grants no credits; `NoTarget` if no target is usable.
    pub fn choose(
        &mut self,
        now_ms: u64,
        query: &TargetQuery<'_>,
        rng: &mut impl Rng,
    ) -> Result<TargetKey, Refusal> {
        if let Some(probe) = self.probe(now_ms, query) {
            return Ok(probe);
        }
        self.collect(now_ms, query);
        let margins = Margins {
            remote_cost: self.options.remote_margin,
            cached_occupancy: self.options.cached_occupancy,
        };
        match self.options.policy.pick(&self.candidates, margins, rng) {
            Some(target) => Ok(target),
            None => Err(self.refuse(now_ms, query)),
        }
    }

    /// Returns a target whose breaker waits for a probe, if this request may serve as the probe.
    fn probe(&self, now_ms: u64, query: &TargetQuery<'_>) -> Option<TargetKey> {
        if !query.class.is_online() {
            return None;
        }
        let mut usable = self.usable(now_ms, query);
        let (probe, _) = usable.find(|(_, target)| target.needs_probe(now_ms))?;
        let has_other = || {
            let mut others = self.usable(now_ms, query);
            others.any(|(_, target)| !target.needs_probe(now_ms))
        };
        (query.repeatable || !has_other()).then_some(probe)
    }

    fn usable(
        &self,
        now_ms: u64,
        query: &TargetQuery<'_>,
    ) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets
            .iter()
            .filter(move |(key, target)| target.is_usable(now_ms) && !query.excluded.contains(key))
    }

    /// Fills `self.candidates` with the targets that have room for the request, sorted with this entry node's data
    /// centre first.
    fn collect(&mut self, now_ms: u64, query: &TargetQuery<'_>) {
        let mut candidates = std::mem::take(&mut self.candidates);
        let cached_at = query
            .prefix_hash
            .map_or_else(CachedAt::default, |hash| self.hints.get(hash));
        candidates.clear();
        candidates.extend(
            self.usable(now_ms, query)
                .filter(|(_, target)| !target.needs_probe(now_ms))
                .filter(|(_, target)| self.has_room(now_ms, query.class, target))
                .map(|(key, target)| self.candidate(now_ms, cached_at, key, target)),
        );
        candidates.sort_unstable_by_key(|candidate| !candidate.local);
        self.candidates = candidates;
    }

    fn has_room(&self, now_ms: u64, class: Class, target: &Target) -> bool {
        match class {
            Class::Batch => target.batch_credits(now_ms) > 0,
            Class::Urgent | Class::Interactive => {
                !target.is_refusing(now_ms)
                    && self.occupancy(now_ms, target) <= self.options.full_occupancy
            }
        }
    }

    fn occupancy(&self, now_ms: u64, target: &Target) -> f32 {
        target.occupancy(
            now_ms,
            self.options.stale_report_ms,
            self.options.assumed_slots,
        )
    }

    fn candidate(
        &self,
        now_ms: u64,
        cached_at: CachedAt,
        key: TargetKey,
        target: &Target,
    ) -> Candidate {
        let occupancy = self.occupancy(now_ms, target);
        let slowness = if self.median_us > 0.0 && target.samples > 0 {
            let ratio = target.first_byte_us / self.median_us;
            (ratio / TOLERATED_SLOWNESS).clamp(1.0, MAX_SLOWNESS)
        } else {
            1.0
        };
        Candidate {
            key,
            in_flight: target.in_flight.online + target.in_flight.batch,
            occupancy,
            cost: occupancy * slowness,
            local: target.info.same_data_centre,
            cached: cached_at.contains(&Some(key)),
        }
    }

    fn refuse(&self, now_ms: u64, query: &TargetQuery<'_>) -> Refusal {
        if self.usable(now_ms, query).next().is_some() {
            let wait_ms = self.load(now_ms).expected_wait_ms();
            return Refusal::not_run(Reason::Overloaded)
                .retry_after(wait_ms.max(MIN_RETRY_AFTER_MS));
        }
        let reopen_ms = self
            .targets
            .values()
            .filter(|target| !target.leaving)
            .filter_map(|target| match target.breaker.state(now_ms) {
                BreakerState::Open { until_ms } => Some(until_ms - now_ms),
                BreakerState::Closed | BreakerState::HalfOpen { .. } => None,
            })
            .min();
        let retry_after_ms = reopen_ms
            .unwrap_or(MIN_RETRY_AFTER_MS)
            .max(MIN_RETRY_AFTER_MS);
        Refusal::not_run(Reason::NoTarget).retry_after(retry_after_ms)
    }
}
