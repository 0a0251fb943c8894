//! The retry budget of a service.

use crate::bucket::TokenBucket;

/// How many retries a service may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetOptions {
    /// Thousandths of a retry that each success earns.
    pub earned_milli: u32,
    /// Retries a second that are granted whatever succeeds.
    pub floor_per_s: u32,
    /// The most retries that can be saved up.
    pub capacity: u32,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            earned_milli: 100,
            floor_per_s: 2,
            capacity: 50,
        }
    }
}

/// Keeps retries to a share of successes, so that they cannot multiply an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    bucket: TokenBucket,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now_ms: u64, options: RetryBudgetOptions) -> Self {
        Self {
            options,
            bucket: TokenBucket::new(now_ms, options.floor_per_s, options.capacity),
        }
    }

    /// Earns a share of a retry by a request that was answered.
    pub fn on_success(&mut self) {
        self.bucket
            .deposit_milli(u64::from(self.options.earned_milli));
    }

    /// Spends one retry; returns `false` if none is left.
    pub fn try_spend(&mut self, now_ms: u64) -> bool {
        self.bucket.try_take(now_ms).is_ok()
    }
}
