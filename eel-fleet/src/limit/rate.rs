//! A rate of requests, as a target names it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The lowest rate that is kept, in requests a second. A target that takes less is asked so often whether it still does.
const MIN_PER_S: f64 = 0.1;

/// The rate of requests that a target takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    /// The time from one request to the next, in µs.
    interval_us: u64,
}

/// What a target's response says of the rate of requests that the target takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedLimit {
    /// The target names no limit.
    Absent,
    /// The target names a limit.
    Rate(RateLimit),
    /// The target names something else than one rate.
    Invalid,
}

impl RateLimit {
    /// Creates a limit of so many requests a second; `None` if that is negative or not a finite number. Rates below one
    /// request in ten seconds count as this rate.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        if !per_s.is_finite() || per_s < 0.0 {
            return None;
        }
        let interval = Duration::try_from_secs_f64(per_s.max(MIN_PER_S).recip()).ok()?;
        let interval_us = u64::try_from(interval.as_micros()).ok()?;
        Some(Self {
            interval_us: interval_us.max(1),
        })
    }

    /// Returns the time from one request to the next, in µs; at least 1, also if a peer sent 0.
    #[must_use]
    pub fn interval_us(self) -> u64 {
        self.interval_us.max(1)
    }

    /// Returns the rate in requests per 1,000 s.
    #[must_use]
    pub fn per_1000_s(self) -> u64 {
        const US_PER_1000_S: u64 = 1_000_000_000;
        US_PER_1000_S / self.interval_us()
    }

    /// Returns whether the target takes fewer requests than under `other`; without a limit it takes any number.
    pub(super) fn is_stricter(limit: Option<Self>, other: Option<Self>) -> bool {
        limit.map_or(0, Self::interval_us) > other.map_or(0, Self::interval_us)
    }
}
