//! The age of messages that a link delivers late.

/// Estimates how long messages of one link have travelled, from the sender's monotonic time that each carries.
///
/// The smallest difference seen between the two clocks stands for the fastest delivery; a message that exceeds it by
/// some time has waited that long on the way, for example in the socket buffer of a stopped process. The estimate is
/// exact but for the fastest delivery itself and the drift of the clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkClock {
    smallest_offset_ms: Option<i64>,
}

impl LinkClock {
    /// Takes note of a message sent at `sent_ms` of the sender's clock, and returns its age.
    pub fn observe(&mut self, now_ms: u64, sent_ms: u64) -> u64 {
        let offset_ms = now_ms.cast_signed().wrapping_sub(sent_ms.cast_signed());
        let smallest_ms = self.smallest_offset_ms.unwrap_or(offset_ms).min(offset_ms);
        self.smallest_offset_ms = Some(smallest_ms);
        offset_ms.wrapping_sub(smallest_ms).cast_unsigned()
    }

    /// Returns the deadline, on this process's clock, of a request that had `time_left_ms` left when it was sent.
    pub fn deadline_ms(&mut self, now_ms: u64, sent_ms: u64, time_left_ms: u64) -> u64 {
        let age_ms = self.observe(now_ms, sent_ms);
        now_ms.saturating_add(time_left_ms).saturating_sub(age_ms)
    }
}
