//! Whether a target is worth sending to, by what this node's own attempts met.

/// The first pause after a failure, in ms: a crashed process is back within about a second.
const FIRST_PAUSE_MS: u64 = 250;
/// The longest pause between two trials, in ms: a target that is gone for good loses its entry within 4 s.
const LONGEST_PAUSE_MS: u64 = 2_000;
/// How long a target that said it was full is left alone, in ms: about a tenth of a request's run time.
const FULL_PAUSE_MS: u64 = 50;

/// What a node's attempts at a target met lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    paused_until_ms: u64,
}

impl Health {
    /// Returns whether an attempt may be sent; after a pause, one is allowed as a trial.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms
    }

    /// Takes in that an attempt starts: at a target under suspicion no second one follows until it is answered.
    pub fn on_start(&mut self, now_ms: u64) {
        if self.failures > 0 {
            self.pause(now_ms);
        }
    }

    /// Takes in a sign of life.
    pub fn on_answer(&mut self) {
        *self = Self::default();
    }

    /// Takes in that the target is full.
    pub fn on_full(&mut self, now_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + FULL_PAUSE_MS);
    }

    /// Takes in a failure.
    pub fn on_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        self.pause(now_ms);
    }

    fn pause(&mut self, now_ms: u64) {
        let doublings = self.failures.saturating_sub(1).min(8);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
        self.paused_until_ms = now_ms + pause_ms;
    }
}
