//! The timing of one answer.

use std::time::{Duration, Instant};

/// Times the parts of an answer.
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

    pub(super) fn first_byte(&self) -> Option<Duration> {
        self.first.map(|first| first - self.started)
    }

    pub(super) fn first_byte_ms(&self) -> Option<u64> {
        self.first_byte().map(to_ms)
    }

    /// Returns the mean time between parts; an engine sends one part a token.
    pub(super) fn between_tokens_ms(&self) -> Option<u64> {
        let gaps = self.parts.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let span = self.last? - self.first?;
        Some(to_ms(span / gaps))
    }
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
