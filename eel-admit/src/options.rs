//! Options of the admission state machine.

use crate::ServiceLimits;

/// Configures how the slots of one target are shared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Capacity and latency objectives from the service's record.
    pub limits: ServiceLimits,
    /// The maximum share of the slots that is reserved for the next online burst, in percent.
    pub reserve_percent: u32,
    /// The length of the window whose online arrivals count as one burst.
    pub burst_window_ms: u64,
    /// The half-life of the recorded burst size.
    pub burst_half_life_ms: u64,
    /// Upper bound of the gap that is kept between the starts of two batch items.
    pub batch_start_gap_ms: u64,
    /// How long batch credits are valid; also the maximum time that a batch item is queued.
    pub credit_valid_ms: u64,
    /// The maximum number of queued batch items.
    pub batch_queue: u32,
    /// How long ended requests are kept in the history; deadlines are capped to this time.
    pub retention_ms: u64,
    /// The maximum number of ended requests in the history.
    pub history: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            limits: ServiceLimits::default(),
            reserve_percent: 4,
            burst_window_ms: 20,
            burst_half_life_ms: 5_000,
            batch_start_gap_ms: 20,
            credit_valid_ms: 1_500,
            batch_queue: 4,
            retention_ms: 600_000,
            history: 65_536,
        }
    }
}
