//! Options of the admission state machine.

use crate::ServiceLimits;

/// How a target's slots are shared out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// What the service's record states.
    pub targets: ServiceLimits,
    /// The part of the slots that may be kept free of batch for the next online burst, in percent.
    pub reserve_percent: u32,
    /// Arrivals within this time count as one burst.
    pub burst_window_ms: u64,
    /// The time after which half of a past burst is forgotten.
    pub burst_half_life_ms: u64,
    /// The longest time for which the start of a batch item keeps the next one from starting.
    pub batch_start_gap_ms: u64,
    /// How long batch credits are good for.
    pub credit_valid_ms: u64,
    /// The most batch items that may wait for a slot.
    pub batch_queue: u32,
    /// How long ended requests are remembered; no deadline reaches further.
    pub retention_ms: u64,
    /// The most ended requests that are remembered.
    pub history: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            targets: ServiceLimits::default(),
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
