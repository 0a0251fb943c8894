//! Measures the latencies of one response.

use std::time::{Duration, Instant};

/// Records the arrival times and the total length of the parts of a response body.
pub(super) struct Timing {
    started: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    parts: u32,
    body_bytes: u64,
}

impl Timing {
    pub(super) fn start() -> Self {
        Self {
            started: Instant::now(),
            first: None,
            last: None,
            parts: 0,
            body_bytes: 0,
        }
    }

    pub(super) fn on_part(&mut self, bytes: usize) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.parts += 1;
        self.body_bytes += bytes as u64;
    }

    pub(super) fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Returns the time from the start to the first part of the body; `None` before the first part.
    pub(super) fn first_byte(&self) -> Option<Duration> {
        self.first.map(|first| first - self.started)
    }

    pub(super) fn first_byte_ms(&self) -> Option<u64> {
        self.first_byte().map(to_ms)
    }

    /// Returns the mean time between parts, as an engine sends one part per token; `None` with fewer than two parts.
    pub(super) fn between_tokens_ms(&self) -> Option<u64> {
        let gaps = self.parts.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let span = self.last? - self.first?;
        Some(to_ms(span / gaps))
    }
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
