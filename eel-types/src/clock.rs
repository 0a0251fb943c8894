//! The monotonic clock of a process.

use std::time::{Duration, Instant};

/// Measures the time since the process started. Decision functions take it as their `now_ms` argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock at 0 ms.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock was started.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns what the clock showed at an instant; 0 for one before its start.
    #[must_use]
    pub fn ms_at(&self, instant: Instant) -> u64 {
        let since = instant.saturating_duration_since(self.started);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the instant at which this clock shows `at_ms`.
    #[must_use]
    pub fn instant(&self, at_ms: u64) -> Instant {
        self.started + Duration::from_millis(at_ms)
    }
}
