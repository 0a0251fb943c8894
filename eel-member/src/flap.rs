//! Delays the use of targets that flap.

use crate::Options;

/// Counts a target's recent failures. Each failure doubles the time until the target is used again; each
/// [`Options::flap_decay_ms`] without a failure reduces the count by one.
#[derive(Clone, Debug, Default)]
pub struct FlapDamper {
    failures: u32,
    counted_ms: u64,
    held_until_ms: u64,
}

impl FlapDamper {
    /// Records that the target failed while it was in use.
    pub fn on_failure(&mut self, options: &Options, now_ms: u64) {
        self.decay(options, now_ms);
        self.failures += 1;
        let doublings = (self.failures - 1).min(u64::BITS - 1);
        let hold_ms = options
            .hold_first_ms
            .saturating_mul(1 << doublings)
            .min(options.hold_max_ms);
        self.counted_ms = now_ms;
        self.held_until_ms = now_ms + hold_ms;
    }

    /// Returns `true` if the target may be used again.
    pub fn allows_use(&self, now_ms: u64) -> bool {
        now_ms >= self.held_until_ms
    }

    fn decay(&mut self, options: &Options, now_ms: u64) {
        let quiet_spans = now_ms.saturating_sub(self.counted_ms) / options.flap_decay_ms.max(1);
        let decayed = u32::try_from(quiet_spans).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_sub(decayed);
    }
}
