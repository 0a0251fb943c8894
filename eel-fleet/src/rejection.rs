//! Rejections of online requests: how long a request would wait, and when its caller should return.

use crate::{Capacity, queue::QueuedRequest};

/// Minimum of a run time sample: the resolution of the clock. With 0, a backlog of shorter runs would count as empty.
pub const MIN_RUN_TIME_MS: u64 = 1;
const MS_PER_1000_S: u64 = 1_000_000;
/// Bounds of the retry delay that is sent to callers. Callers honour a delay of up to a third of their remaining time.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 100..=1_500;
/// The part of their remaining time up to which callers honour a delay: a third.
const HONOURED_DIVISOR: u64 = 3;
/// The part of the latest delay over which the delays of requests that are rejected together are spread: a fifth.
const RETRY_SPREAD_DIVISOR: u64 = 5;

/// Why a request is rejected, and when the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The time after which the caller should retry.
    pub retry_after_ms: u64,
    /// How long the request would have waited for a slot.
    pub expected_wait_ms: u64,
    /// The waiting requests that would start before it, at this node and at its peers.
    pub ahead: u64,
    /// The number of slots of the service's usable targets that name no limit.
    pub slots: u32,
    /// The number of the service's usable targets that name a limit.
    pub limited_targets: u32,
    /// Whether no target of the only version that may be chosen is left, so that waiting is of no use.
    pub is_version_gone: bool,
}

impl Rejection {
    /// Returns after what time this node may try again to find a slot for a request that it keeps.
    #[must_use]
    pub fn recheck_after_ms(&self) -> u64 {
        clamp_retry_after(self.expected_wait_ms)
    }
}

/// Returns whether all usable targets limit the rate of requests.
pub fn is_limited(capacity: &Capacity) -> bool {
    capacity.slots == 0 && capacity.limited_targets > 0
}

/// Returns how long a request waits behind `ahead` others. A slot becomes free every `run_time / slots`, and targets that
/// name a limit take requests at that rate.
pub fn expected_wait_ms(now_ms: u64, capacity: &Capacity, run_time_ms: u64, ahead: u64) -> u64 {
    let slots = u64::from(capacity.slots);
    match (slots, capacity.opens_at_ms) {
        (0, None) => run_time_ms,
        (0, Some(opens_at_ms)) => {
            let behind_ms = ahead.saturating_mul(MS_PER_1000_S);
            let behind_ms = behind_ms / capacity.limited_per_1000_s.max(1);
            opens_at_ms.saturating_sub(now_ms).saturating_add(behind_ms)
        }
        (slots, _) => {
            let run_time_ms = run_time_ms.max(MIN_RUN_TIME_MS);
            // The requests that start in the run time of one, in millionths.
            let at_limited = capacity.limited_per_1000_s.saturating_mul(run_time_ms);
            let taken = slots
                .saturating_mul(MS_PER_1000_S)
                .saturating_add(at_limited);
            let needed = ahead.saturating_add(1).saturating_mul(run_time_ms);
            needed.saturating_mul(MS_PER_1000_S).div_ceil(taken)
        }
    }
}

/// Returns after what time a rejected caller should return.
///
/// A request is rejected because the load exceeds what the targets take. Callers that return as soon as the present backlog
/// is gone meet the same burst and take the place of others that can still be on time. They are therefore asked to return
/// late in the time that they honour, at times that differ between requests.
pub fn retry_after_ms(
    now_ms: u64,
    capacity: &Capacity,
    expected_wait_ms: u64,
    waiting: &QueuedRequest,
) -> u64 {
    let honoured_ms = waiting.give_up_ms.saturating_sub(now_ms) / HONOURED_DIVISOR;
    let latest_ms = clamp_retry_after(honoured_ms);
    if capacity.slots == 0 && capacity.limited_targets == 0 {
        return clamp_retry_after(expected_wait_ms);
    }
    let spread_ms = latest_ms / RETRY_SPREAD_DIVISOR;
    let earliest_ms = expected_wait_ms.clamp(latest_ms - spread_ms, latest_ms - spread_ms / 2);
    clamp_retry_after(earliest_ms + waiting.tie_breaker % (latest_ms - earliest_ms + 1))
}

fn clamp_retry_after(retry_after_ms: u64) -> u64 {
    retry_after_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
}
