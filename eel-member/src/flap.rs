//! Holds back targets that come and go.

use crate::Options;

/// Counts a target's recent failures. Each one doubles the time before it is used again; quiet time takes them off.
#[derive(Clone, Debug, Default)]
pub struct FlapDamper {
    failures: u32,
    counted_ms: u64,
    held_until_ms: u64,
}

impl FlapDamper {
    /// Notes that the target was in use and failed.
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

    /// Returns `true` if the target may be used.
    pub fn allows_use(&self, now_ms: u64) -> bool {
        now_ms >= self.held_until_ms
    }

    fn decay(&mut self, options: &Options, now_ms: u64) {
        let quiet_spans = now_ms.saturating_sub(self.counted_ms) / options.flap_decay_ms.max(1);
        let forgiven = u32::try_from(quiet_spans).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_sub(forgiven);
    }
}
