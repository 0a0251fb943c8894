//! Tracks the health of a target by the results of this node's own attempts.
//!
//! A target that is down gets nothing but trial attempts. A target that fails part of its requests but otherwise looks
//! healthy is used last.

/// Pause after the first failure. A crashed process is back within about a second.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Upper bound of the pause between two trials. A target that is gone for good loses its entry within 4 s.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Pause after a target reports that it is full: about a tenth of a request's run time.
const FULL_BACKOFF_MS: u64 = 50;

/// Divisor of the newest attempt's weight in the moving share of failures. Two failures within a few attempts exceed
/// [`SUSPECT_PER_1000`].
const FAILURE_EWMA_DIVISOR: u32 = 8;
/// Time in which the share of failures halves without attempts. Partial failures of targets last about as long.
const FAILURE_HALF_LIFE_MS: u64 = 4_000;
/// Share of failures, in thousandths, from which a target is used last. A single failure raises the share to 125.
const SUSPECT_PER_1000: u32 = 200;

/// The recent results of this node's attempts at one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    paused_until_ms: u64,
    /// Moving share of failed attempts, in thousandths, as of `updated_ms`.
    failed_per_1000: u32,
    updated_ms: u64,
}

impl Health {
    /// Returns whether an attempt may be sent now. After a pause, one attempt is allowed as a trial.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms
    }

    /// Returns whether the target recently failed more of its requests than chance explains.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        self.failed_per_1000_at(now_ms) >= SUSPECT_PER_1000
    }

    /// Returns the number of failures since the last response.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records the start of an attempt. After a failure it renews the pause, so that trials run one at a time.
    pub fn on_start(&mut self, now_ms: u64) {
        if self.failures > 0 {
            self.back_off(now_ms);
        }
    }

    /// Records the start of a response, which shows that the target is alive and ends any pause.
    pub fn on_response(&mut self) {
        self.failures = 0;
        self.paused_until_ms = 0;
    }

    /// Records a complete response; `is_error` tells whether the response reports a failure of the target.
    pub fn on_end(&mut self, now_ms: u64, is_error: bool) {
        self.on_response();
        self.record(now_ms, is_error);
    }

    /// Records that the target refused an attempt because it is full.
    pub fn on_full(&mut self, now_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + FULL_BACKOFF_MS);
    }

    /// Records a failed attempt. The pause doubles with each failure in a row.
    pub fn on_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        self.back_off(now_ms);
        self.record(now_ms, true);
    }

    fn record(&mut self, now_ms: u64, is_failure: bool) {
        let share = self.failed_per_1000_at(now_ms);
        let newest = if is_failure { 1_000 } else { 0 };
        self.failed_per_1000 = (share * (FAILURE_EWMA_DIVISOR - 1) + newest) / FAILURE_EWMA_DIVISOR;
        self.updated_ms = now_ms;
    }

    fn failed_per_1000_at(&self, now_ms: u64) -> u32 {
        let halvings = now_ms.saturating_sub(self.updated_ms) / FAILURE_HALF_LIFE_MS;
        self.failed_per_1000 >> halvings.min(31)
    }

    fn back_off(&mut self, now_ms: u64) {
        let doublings = self.failures.saturating_sub(1).min(8);
        let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.paused_until_ms = now_ms + backoff_ms;
    }
}
