//! Whether a target is worth sending to, by what this node's own attempts met.
//!
//! The load that this answers: targets that are down, which are left alone but for trials, and targets that fail a part
//! of their requests while they look well, which are used last.

/// The first pause after a failure, in ms: a crashed process is back within about a second.
const INITIAL_BACKOFF_MS: u64 = 250;
/// The longest pause between two trials, in ms: a target that is gone for good loses its entry within 4 s.
const MAX_BACKOFF_MS: u64 = 2_000;
/// How long a target that said it was full is left alone, in ms: about a tenth of a request's run time.
const FULL_BACKOFF_MS: u64 = 50;

/// The weight of the newest attempt in the share of failures, as a divisor: two failures within a few attempts count.
const FAILURE_EWMA_DIVISOR: u32 = 8;
/// How long the share takes to halve without attempts, in ms: about as long as targets were seen to fail in part.
const FAILURE_HALF_LIFE_MS: u64 = 4_000;
/// The share of failures from which a target is used last, in thousandths: a single failure makes 125.
const SUSPECT_PER_1000: u32 = 200;

/// What a node's attempts at a target met lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    paused_until_ms: u64,
    /// The moving share of attempts that failed, in thousandths, as of `updated_ms`.
    failed_per_1000: u32,
    updated_ms: u64,
}

impl Health {
    /// Returns whether an attempt may be sent; after a pause, one is allowed as a trial.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms
    }

    /// Returns whether the target lately failed more of its requests than chance explains.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        self.failed_per_1000_at(now_ms) >= SUSPECT_PER_1000
    }

    /// Takes in that an attempt starts: at a target under suspicion no second one follows until it is answered.
    pub fn on_start(&mut self, now_ms: u64) {
        if self.failures > 0 {
            self.back_off(now_ms);
        }
    }

    /// Takes in a sign of life.
    pub fn on_response(&mut self) {
        self.failures = 0;
        self.paused_until_ms = 0;
    }

    /// Takes in a whole answer, which may say that the target failed.
    pub fn on_end(&mut self, now_ms: u64, is_error: bool) {
        self.on_response();
        self.record(now_ms, is_error);
    }

    /// Takes in that the target is full.
    pub fn on_full(&mut self, now_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + FULL_BACKOFF_MS);
    }

    /// Takes in a failure.
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
