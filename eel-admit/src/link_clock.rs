//! Measures how long messages of a link were delayed in delivery.

/// Estimates the delivery delay of the messages of one link from the sender's monotonic time in each message.
///
/// The smallest offset seen between the two clocks is taken as the offset of an undelayed message. A message whose
/// offset is larger was delayed by the difference, for example in the socket buffer of a stopped process. The estimate
/// omits the delay of the fastest message and the drift between the clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkClock {
    smallest_offset_ms: Option<i64>,
}

impl LinkClock {
    /// Records a message sent at `sent_ms` on the sender's clock and returns its estimated delay in milliseconds.
    pub fn observe(&mut self, now_ms: u64, sent_ms: u64) -> u64 {
        let offset_ms = now_ms.cast_signed().wrapping_sub(sent_ms.cast_signed());
        let smallest_ms = self.smallest_offset_ms.unwrap_or(offset_ms).min(offset_ms);
        self.smallest_offset_ms = Some(smallest_ms);
        offset_ms.wrapping_sub(smallest_ms).cast_unsigned()
    }

    /// Returns the deadline, on this process's clock, of a request sent `time_left_ms` before its deadline.
    ///
    /// Records the message as [`LinkClock::observe`] does.
    pub fn deadline_ms(&mut self, now_ms: u64, sent_ms: u64, time_left_ms: u64) -> u64 {
        let age_ms = self.observe(now_ms, sent_ms);
        now_ms.saturating_add(time_left_ms).saturating_sub(age_ms)
    }
}
