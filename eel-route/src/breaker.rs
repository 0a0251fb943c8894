//! A circuit breaker for one target.

use rand::{Rng, RngExt as _};

/// Settings of a breaker: when it opens, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerOptions {
    /// Consecutive failures that open the breaker.
    pub consecutive_failures: u32,
    /// The share of failed attempts that opens the breaker, from 0 to 1.
    pub failure_ratio: f32,
    /// Attempts that a window must contain before its ratio counts.
    pub min_attempts: u32,
    /// The length of the window over which the ratio is taken. The counts of earlier windows are halved at the end of
    /// each window.
    pub window_ms: u64,
    /// How long the breaker stays open the first time. Each further opening doubles the time.
    pub open_ms: u64,
    /// The longest time the breaker stays open.
    pub max_open_ms: u64,
    /// How long the breaker must stay closed for the next opening to last `open_ms` again.
    pub reset_after_ms: u64,
}

impl Default for BreakerOptions {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            failure_ratio: 0.5,
            min_attempts: 20,
            window_ms: 5_000,
            open_ms: 500,
            max_open_ms: 30_000,
            reset_after_ms: 60_000,
        }
    }
}

/// The state of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// All attempts pass.
    Closed,
    /// No attempt passes until the given time.
    Open {
        /// The time at which the breaker becomes half-open.
        until_ms: u64,
    },
    /// One attempt passes as a probe, whose result closes the breaker or opens it again.
    HalfOpen {
        /// Whether the probe is in flight.
        probing: bool,
    },
}

/// Stops the use of a target that fails, and probes it with single attempts until it works again.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    options: BreakerOptions,
    state: BreakerState,
    openings: u32,
    closed_since_ms: u64,
    consecutive_failures: u32,
    window_start_ms: u64,
    attempts: u32,
    failures: u32,
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new(now_ms: u64, options: BreakerOptions) -> Self {
        Self {
            options,
            state: BreakerState::Closed,
            openings: 0,
            closed_since_ms: now_ms,
            consecutive_failures: 0,
            window_start_ms: now_ms,
            attempts: 0,
            failures: 0,
        }
    }

    /// Returns the state at `now_ms`. An open breaker whose time is over counts as half-open.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> BreakerState {
        match self.state {
            BreakerState::Open { until_ms } if now_ms >= until_ms => {
                BreakerState::HalfOpen { probing: false }
            }
            state => state,
        }
    }

    /// Records the start of an attempt; returns `true` if the attempt is the probe.
    pub fn on_start(&mut self, now_ms: u64) -> bool {
        match self.state(now_ms) {
            BreakerState::HalfOpen { probing: false } => {
                self.state = BreakerState::HalfOpen { probing: true };
                true
            }
            _ => false,
        }
    }

    /// Records an attempt with a complete response.
    pub fn on_success(&mut self, now_ms: u64, probe: bool) {
        match self.state {
            BreakerState::HalfOpen { .. } if probe => self.close(now_ms),
            BreakerState::Closed => self.count(now_ms, false),
            // An attempt from before the opening says nothing about the target's current state.
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => {}
        }
    }

    /// Records an attempt that failed because of the target.
    pub fn on_failure(&mut self, now_ms: u64, probe: bool, rng: &mut impl Rng) {
        match self.state {
            BreakerState::HalfOpen { .. } if probe => self.open(now_ms, rng),
            BreakerState::Closed => {
                self.count(now_ms, true);
                if self.is_failing() {
                    self.open(now_ms, rng);
                }
            }
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => {}
        }
    }

    /// Records an attempt that ended without saying anything about the target.
    pub fn on_neutral(&mut self, probe: bool) {
        if let (BreakerState::HalfOpen { .. }, true) = (self.state, probe) {
            self.state = BreakerState::HalfOpen { probing: false };
        }
    }

    /// Opens the breaker for a time that doubles with each opening, plus a random jitter of up to a quarter.
    pub fn open(&mut self, now_ms: u64, rng: &mut impl Rng) {
        let closed_ms = now_ms.saturating_sub(self.closed_since_ms);
        if self.state == BreakerState::Closed && closed_ms >= self.options.reset_after_ms {
            self.openings = 0;
        }
        let exponent = self.openings.min(u64::BITS / 2);
        let base_ms = self.options.open_ms.saturating_mul(1 << exponent);
        let base_ms = base_ms.clamp(1, self.options.max_open_ms.max(1));
        let open_ms = base_ms + rng.random_range(0..=base_ms / 4);
        self.openings = self.openings.saturating_add(1);
        self.state = BreakerState::Open {
            until_ms: now_ms.saturating_add(open_ms),
        };
    }

    fn close(&mut self, now_ms: u64) {
        self.state = BreakerState::Closed;
        self.closed_since_ms = now_ms;
        self.consecutive_failures = 0;
        self.window_start_ms = now_ms;
        self.attempts = 0;
        self.failures = 0;
    }

    fn count(&mut self, now_ms: u64, failed: bool) {
        while now_ms.saturating_sub(self.window_start_ms) >= self.options.window_ms.max(1) {
            self.attempts /= 2;
            self.failures /= 2;
            self.window_start_ms += self.options.window_ms.max(1);
            if self.attempts == 0 {
                self.window_start_ms = now_ms;
            }
        }
        self.attempts += 1;
        if failed {
            self.failures += 1;
            self.consecutive_failures += 1;
        } else {
            self.consecutive_failures = 0;
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn is_failing(&self) -> bool {
        if self.consecutive_failures >= self.options.consecutive_failures {
            return true;
        }
        let limit = self.attempts as f32 * self.options.failure_ratio;
        self.attempts >= self.options.min_attempts && self.failures as f32 >= limit
    }
}
