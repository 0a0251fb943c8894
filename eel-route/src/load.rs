//! The load of a pool, and the refusal of requests that cannot be served before their deadline.

use eel_verdict::{Reason, Refusal};

/// Minimum retry delay of a refused request.
pub(crate) const MIN_RETRY_AFTER_MS: u64 = 100;

/// The load of a pool, as far as this entry node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Total slots of the usable targets.
    pub slots: u32,
    /// Online requests that run or are queued at these targets.
    pub in_flight: u32,
    /// The mean time for which a request holds a slot; 0 until the first one is measured.
    pub mean_service_ms: u64,
}

impl PoolLoad {
    /// Returns the time that a new request is expected to wait for a slot: the requests ahead of it divided by the rate
    /// at which the slots become free.
    #[must_use]
    pub fn expected_wait_ms(self) -> u64 {
        let ahead = (self.in_flight + 1).saturating_sub(self.slots);
        let wait_ms = u64::from(ahead) * self.mean_service_ms;
        wait_ms.checked_div(u64::from(self.slots)).unwrap_or(0)
    }

    /// Admits a request that has `time_left_ms` before its deadline.
    ///
    /// # Errors
    ///
    /// `Overloaded` if the expected wait exceeds `time_left_ms`, with the time after which the queue should be short
    /// enough; `DeadlineExceeded` if no time is left.
    pub fn admit(self, time_left_ms: u64) -> Result<(), Refusal> {
        if time_left_ms == 0 {
            return Err(Refusal::not_run(Reason::DeadlineExceeded));
        }
        let wait_ms = self.expected_wait_ms();
        if wait_ms <= time_left_ms {
            return Ok(());
        }
        let retry_after_ms = (wait_ms - time_left_ms).max(MIN_RETRY_AFTER_MS);
        Err(Refusal::not_run(Reason::Overloaded).retry_after(retry_after_ms))
    }
}
