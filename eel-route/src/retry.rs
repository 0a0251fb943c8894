//! The retry budget of a service.

use crate::bucket::TokenBucket;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetOptions {
    /// Thousandths of a retry that each successful request earns.
    pub earned_milli: u32,
    /// Retries per second that are granted regardless of successful requests.
    pub floor_per_s: u32,
    /// Maximum number of retries that can be saved up.
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

/// Limits retries to a share of the successful requests, so that retries cannot amplify an overload.
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

    /// Credits the budget for a successful request.
    pub fn on_success(&mut self) {
        self.bucket
            .deposit_milli(u64::from(self.options.earned_milli));
    }

    /// Spends one retry; returns `false` if none is left.
    pub fn try_spend(&mut self, now_ms: u64) -> bool {
        self.bucket.try_take(now_ms).is_ok()
    }
}
