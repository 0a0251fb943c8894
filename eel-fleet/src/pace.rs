//! Decides how soon a node reports a change of its load to its peers.
//!
//! A report goes to every peer, so at one pace for all sizes the datagrams of a node grow with the fleet. While more
//! than half of the slots are idle, requests spread over many targets and a late report hardly matters. In a burst few
//! slots are left, and nodes that know of one another's choices late send more requests to a target than it has slots.

/// The time between two reports per receiver, in µs, while most slots are idle and while they are not.
const CALM_US_PER_RECEIVER: u64 = 2_000;
const BUSY_US_PER_RECEIVER: u64 = 250;
/// The shortest time between two reports, about the one-way latency to the most distant data centre, in ms.
const MIN_REPORT_INTERVAL_MS: u64 = 4;
/// The time between two reports while the load does not change, and the longest one while it does, in ms.
pub const MAX_REPORT_INTERVAL_MS: u64 = 200;

/// Returns the shortest time between two reports to each of `receivers` peers, in ms.
#[must_use]
pub fn report_interval_ms(receivers: usize, is_busy: bool) -> u64 {
    let us_per_receiver = if is_busy {
        BUSY_US_PER_RECEIVER
    } else {
        CALM_US_PER_RECEIVER
    };
    let receivers = u64::try_from(receivers).unwrap_or(u64::MAX);
    let interval_ms = receivers.saturating_mul(us_per_receiver) / 1_000;
    interval_ms.clamp(MIN_REPORT_INTERVAL_MS, MAX_REPORT_INTERVAL_MS)
}
