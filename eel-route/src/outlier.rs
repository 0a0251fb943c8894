//! Ejection of targets that are much slower than their pool.

use rand::Rng;

use crate::{BreakerState, Pool};

/// Settings for the ejection of slow targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierOptions {
    /// How many times slower than the pool's median the time to first byte must be.
    pub factor: f32,
    /// Responses that a target must have given before it can be ejected.
    pub min_samples: u32,
    /// The largest share of the pool that may be ejected, from 0 to 1.
    pub max_share: f32,
    /// The time between two checks.
    pub check_interval_ms: u64,
}

impl Default for OutlierOptions {
    fn default() -> Self {
        Self {
            factor: 3.0,
            min_samples: 10,
            max_share: 0.25,
            check_interval_ms: 200,
        }
    }
}

impl Pool {
    /// Opens the breaker of the slowest target that is an outlier, unless the share of targets whose breaker is not
    /// closed would then exceed `max_share`.
    pub(crate) fn eject_outlier(&mut self, now_ms: u64, rng: &mut impl Rng) {
        let Some(options) = self.options.outlier else {
            return;
        };
        if now_ms < self.next_check_ms {
            return;
        }
        self.next_check_ms = now_ms + options.check_interval_ms;
        self.median_us = self.median_first_byte_us();
        if !self.can_spare_target(now_ms, options.max_share) {
            return;
        }
        let limit_us = self.median_us * options.factor;
        let slowest = self
            .targets
            .values_mut()
            .filter(|target| target.samples >= options.min_samples)
            .filter(|target| target.first_byte_us > limit_us)
            .filter(|target| target.breaker.state(now_ms) == BreakerState::Closed)
            .max_by(|a, b| a.first_byte_us.total_cmp(&b.first_byte_us));
        if let Some(target) = slowest {
            target.breaker.open(now_ms, rng);
            target.reset_latency();
        }
    }

    /// Returns `true` if a probe that took `first_byte_us` shows that its target is still an outlier.
    pub(crate) fn is_slow_probe(&self, first_byte_us: f32) -> bool {
        self.options.outlier.is_some_and(|options| {
            self.median_us > 0.0 && first_byte_us > self.median_us * options.factor
        })
    }

    fn median_first_byte_us(&mut self) -> f32 {
        let measured = self.targets.values().filter(|target| target.samples > 0);
        self.times_us.clear();
        self.times_us
            .extend(measured.map(|target| target.first_byte_us));
        if self.times_us.is_empty() {
            return 0.0;
        }
        let middle = (self.times_us.len() - 1) / 2;
        *self
            .times_us
            .select_nth_unstable_by(middle, f32::total_cmp)
            .1
    }

    #[allow(clippy::cast_precision_loss)]
    fn can_spare_target(&self, now_ms: u64, max_share: f32) -> bool {
        let usable = |state: BreakerState| state == BreakerState::Closed;
        let closed = self
            .targets
            .values()
            .filter(|target| usable(target.breaker.state(now_ms)));
        let total = self.targets.len();
        let ejected = total - closed.count();
        (ejected + 1) as f32 <= total as f32 * max_share
    }
}
