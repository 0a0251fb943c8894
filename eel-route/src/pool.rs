//! The targets of one service, and the events that update their state.

use eel_types::{Class, LoadReport};
use eel_verdict::Reason;
use rand::Rng;
use slotmap::{SlotMap, new_key_type};

use crate::{
    AttemptOutcome, BreakerOptions, OutlierOptions, Policy, PoolLoad, TargetInfo, TargetStatus,
    policy::Candidate, prefix::PrefixHints, target::Target,
};

/// Weight of the latest sample in the mean service time.
const SERVICE_EWMA_WEIGHT: f32 = 0.05;

new_key_type! {
    /// Identifies a target of a pool.
    pub struct TargetKey;
    /// Identifies an attempt in flight.
    pub struct InFlightKey;
}

/// Settings of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolOptions {
    /// How a target is picked.
    pub policy: Policy,
    /// Settings of the targets' breakers.
    pub breaker: BreakerOptions,
    /// Ejection of slow targets; `None` turns it off.
    pub outlier: Option<OutlierOptions>,
    /// Slots assumed for a target that has not sent a load report yet.
    pub assumed_slots: u32,
    /// Load, as a multiple of its slots, above which a target counts as full.
    pub full_occupancy: f32,
    /// How much lower the cost of a target in another data centre must be for it to be preferred.
    pub remote_margin: f32,
    /// The occupancy up to which a target that has the prefix cached is preferred.
    pub cached_occupancy: f32,
    /// Time constant of the moving average over load reports.
    pub report_smoothing_ms: u64,
    /// The age from which a load report is ignored.
    pub stale_report_ms: u64,
    /// How long a target that refused a request as overloaded gets no online requests.
    pub refused_pause_ms: u64,
    /// Maximum number of prompt prefixes for which cache hints are kept.
    pub prefix_hints: usize,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            policy: Policy::Weighted,
            breaker: BreakerOptions::default(),
            outlier: Some(OutlierOptions::default()),
            assumed_slots: 4,
            full_occupancy: 4.0,
            remote_margin: 0.25,
            cached_occupancy: 1.0,
            report_smoothing_ms: 3_000,
            stale_report_ms: 10_000,
            refused_pause_ms: 50,
            prefix_hints: 4_096,
        }
    }
}

#[derive(Debug)]
struct Running {
    target: TargetKey,
    class: Class,
    probe: bool,
    queued: bool,
    started_ms: u64,
}

/// The targets of one service, as one entry node sees them.
#[derive(Debug)]
pub struct Pool {
    pub(crate) options: PoolOptions,
    pub(crate) targets: SlotMap<TargetKey, Target>,
    pub(crate) hints: PrefixHints,
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) median_us: f32,
    pub(crate) times_us: Vec<f32>,
    pub(crate) next_check_ms: u64,
    running: SlotMap<InFlightKey, Running>,
    mean_service_ms: f32,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(options: PoolOptions) -> Self {
        Self {
            options,
            targets: SlotMap::with_key(),
            hints: PrefixHints::new(options.prefix_hints),
            candidates: Vec::new(),
            median_us: 0.0,
            times_us: Vec::new(),
            next_check_ms: 0,
            running: SlotMap::with_key(),
            mean_service_ms: 0.0,
        }
    }

    /// Adds a target.
    pub fn add_target(&mut self, now_ms: u64, info: TargetInfo) -> TargetKey {
        let target = Target::new(now_ms, info, self.options.breaker);
        self.targets.insert(target)
    }

    /// Removes a target; its attempts in flight end as usual.
    pub fn remove_target(&mut self, target: TargetKey) {
        self.targets.remove(target);
    }

    /// Marks a target as leaving, so that it gets no new work.
    pub fn stop_use(&mut self, target: TargetKey) {
        if let Some(target) = self.targets.get_mut(target) {
            target.leaving = true;
        }
    }

    /// Records a load report, which replaces the earlier one.
    pub fn on_report(&mut self, now_ms: u64, target: TargetKey, report: LoadReport) {
        if let Some(target) = self.targets.get_mut(target) {
            target.on_report(now_ms, report, self.options.report_smoothing_ms);
        }
    }

    /// Records that a target has a prompt prefix in its cache.
    pub fn on_prefix_cached(&mut self, prefix_hash: u64, target: TargetKey) {
        self.hints.insert(prefix_hash, target);
    }

    /// Records that a target dropped a prompt prefix from its cache.
    pub fn on_prefix_evicted(&mut self, prefix_hash: u64, target: TargetKey) {
        self.hints.remove(prefix_hash, target);
    }

    /// Records the start of an attempt; returns `None` if the target is removed, leaving or blocked by its breaker.
    pub fn start(&mut self, now_ms: u64, target: TargetKey, class: Class) -> Option<InFlightKey> {
        let stale_ms = self.options.stale_report_ms;
        let state = self.targets.get_mut(target)?;
        if !state.is_usable(now_ms) {
            return None;
        }
        let probe = state.breaker.on_start(now_ms);
        let queued = state.occupancy(now_ms, stale_ms, self.options.assumed_slots) > 1.0;
        state.on_start(class);
        Some(self.running.insert(Running {
            target,
            class,
            probe,
            queued,
            started_ms: now_ms,
        }))
    }

    /// Records the end of an attempt. A second end of the same attempt is ignored.
    pub fn end(
        &mut self,
        now_ms: u64,
        attempt: InFlightKey,
        outcome: AttemptOutcome,
        rng: &mut impl Rng,
    ) {
        let Some(running) = self.running.remove(attempt) else {
            return;
        };
        let service_ms = now_ms.saturating_sub(running.started_ms);
        if let Some(target) = self.targets.get_mut(running.target) {
            target.on_end(running.class);
        }
        match outcome {
            AttemptOutcome::Answered { first_byte_us } => {
                self.on_answered(now_ms, &running, first_byte_us, rng);
                self.on_service_time(&running, service_ms);
            }
            AttemptOutcome::Refused(reason) => self.on_refused(now_ms, &running, reason, rng),
            AttemptOutcome::Failed => self.on_failed(now_ms, &running, rng),
            AttemptOutcome::Cancelled => self.on_neutral(&running),
        }
        self.eject_outlier(now_ms, rng);
    }

    /// Returns the current state of a target; `None` if it was removed.
    #[must_use]
    pub fn status(&self, now_ms: u64, target: TargetKey) -> Option<TargetStatus> {
        self.targets.get(target).map(|target| TargetStatus {
            in_flight: target.in_flight.online + target.in_flight.batch,
            leaving: target.leaving,
            breaker: target.breaker.state(now_ms),
            first_byte_us: target.first_byte_us,
        })
    }

    /// Returns what the membership view declared about a target; `None` if it was removed.
    #[must_use]
    pub fn info(&self, target: TargetKey) -> Option<&TargetInfo> {
        self.targets.get(target).map(|target| &target.info)
    }

    /// Iterates over the targets.
    pub fn targets(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.targets.keys()
    }

    /// Returns how many attempts are in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the total load of the usable targets.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn load(&self, now_ms: u64) -> PoolLoad {
        let usable = self
            .targets
            .values()
            .filter(|target| target.is_usable(now_ms));
        let mut load = PoolLoad {
            mean_service_ms: self.mean_service_ms as u64,
            ..PoolLoad::default()
        };
        for target in usable {
            load.slots += target.slots(self.options.assumed_slots);
            load.in_flight += target.load(now_ms, self.options.stale_report_ms).round() as u32;
        }
        load
    }

    /// Returns how many batch items this entry node may send now, on the credits of all usable targets.
    #[must_use]
    pub fn batch_credits(&self, now_ms: u64) -> u32 {
        let targets = self.targets.values();
        let usable = targets.filter(|target| target.is_usable(now_ms));
        usable.map(|target| target.batch_credits(now_ms)).sum()
    }

    #[allow(clippy::cast_precision_loss)]
    fn on_answered(
        &mut self,
        now_ms: u64,
        running: &Running,
        first_byte_us: u64,
        rng: &mut impl Rng,
    ) {
        let first_byte_us = first_byte_us as f32;
        let slow_probe = running.probe && self.is_slow_probe(first_byte_us);
        let Some(target) = self.targets.get_mut(running.target) else {
            return;
        };
        if slow_probe {
            target.breaker.on_failure(now_ms, running.probe, rng);
            return;
        }
        if running.class.is_online() {
            target.on_first_byte(first_byte_us);
        }
        target.breaker.on_success(now_ms, running.probe);
    }

    fn on_refused(&mut self, now_ms: u64, running: &Running, reason: Reason, rng: &mut impl Rng) {
        match reason {
            Reason::Overloaded => {
                let pause_ms = self.options.refused_pause_ms;
                if let Some(target) = self.targets.get_mut(running.target) {
                    target.set_full_until(now_ms + pause_ms);
                }
                self.on_neutral(running);
            }
            Reason::Leaving => {
                self.stop_use(running.target);
                self.on_neutral(running);
            }
            Reason::NoTarget | Reason::TargetFailed | Reason::Truncated => {
                self.on_failed(now_ms, running, rng);
            }
            Reason::BadRequest
            | Reason::Unauthorized
            | Reason::Forbidden
            | Reason::UnknownService
            | Reason::RequestTimeout
            | Reason::TooLarge
            | Reason::CallerLimit
            | Reason::DeadlineExceeded
            | Reason::Cancelled
            | Reason::Conflict
            | Reason::StoreUnavailable
            | Reason::Quarantined => self.on_neutral(running),
        }
    }

    fn on_failed(&mut self, now_ms: u64, running: &Running, rng: &mut impl Rng) {
        if let Some(target) = self.targets.get_mut(running.target) {
            target.breaker.on_failure(now_ms, running.probe, rng);
        }
    }

    fn on_neutral(&mut self, running: &Running) {
        if let Some(target) = self.targets.get_mut(running.target) {
            target.breaker.on_neutral(running.probe);
        }
    }

    /// Updates the mean service time from online attempts that found a free slot. The times of all others include time
    /// in a queue.
    #[allow(clippy::cast_precision_loss)]
    fn on_service_time(&mut self, running: &Running, service_ms: u64) {
        if running.queued || !running.class.is_online() {
            return;
        }
        let service_ms = service_ms as f32;
        if self.mean_service_ms == 0.0 {
            self.mean_service_ms = service_ms;
        } else {
            self.mean_service_ms += SERVICE_EWMA_WEIGHT * (service_ms - self.mean_service_ms);
        }
    }
}
