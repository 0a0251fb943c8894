//! A token bucket that counts in thousandths of a token, so that its arithmetic is exact.

/// Thousandths in one token.
pub(crate) const MILLI_PER_TOKEN: u64 = 1000;

/// A bucket that refills by `rate_per_s` tokens per second up to its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    rate_per_s: u32,
    capacity_milli: u64,
    level_milli: u64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(now_ms: u64, rate_per_s: u32, capacity: u32) -> Self {
        let capacity_milli = u64::from(capacity) * MILLI_PER_TOKEN;
        Self {
            rate_per_s,
            capacity_milli,
            level_milli: capacity_milli,
            refilled_ms: now_ms,
        }
    }

    /// Changes rate and capacity. The level stays, up to the new capacity.
    pub fn reconfigure(&mut self, now_ms: u64, rate_per_s: u32, capacity: u32) {
        self.refill(now_ms);
        self.rate_per_s = rate_per_s;
        self.capacity_milli = u64::from(capacity) * MILLI_PER_TOKEN;
        self.level_milli = self.level_milli.min(self.capacity_milli);
    }

    /// Adds thousandths of a token, up to the capacity.
    pub fn deposit_milli(&mut self, amount_milli: u64) {
        self.level_milli = (self.level_milli + amount_milli).min(self.capacity_milli);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which the bucket holds a token, or `u64::MAX` if it never will.
    pub fn try_take(&mut self, now_ms: u64) -> Result<(), u64> {
        self.refill(now_ms);
        match self.level_milli.checked_sub(MILLI_PER_TOKEN) {
            Some(rest_milli) => {
                self.level_milli = rest_milli;
                Ok(())
            }
            None => Err(self.wait_ms()),
        }
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let refill_milli = elapsed_ms.saturating_mul(u64::from(self.rate_per_s));
        self.level_milli = self
            .level_milli
            .saturating_add(refill_milli)
            .min(self.capacity_milli);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }

    fn wait_ms(&self) -> u64 {
        if self.rate_per_s == 0 || self.capacity_milli < MILLI_PER_TOKEN {
            return u64::MAX;
        }
        let missing_milli = MILLI_PER_TOKEN - self.level_milli;
        missing_milli.div_ceil(u64::from(self.rate_per_s))
    }
}
