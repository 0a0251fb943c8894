//! Load reports of target nodes.

use serde::{Deserialize, Serialize};

/// The load of a target node, as reported to an entry node. It lags by the delay of the link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests that the target may run concurrently.
    pub slots: u32,
    /// The number of running online requests.
    pub running_online: u32,
    /// The number of queued online requests.
    pub queued_online: u32,
    /// The number of running batch items.
    pub running_batch: u32,
    /// The number of batch items that the entry node may send now.
    pub batch_credits: u32,
    /// How long the batch credits remain valid.
    pub credit_valid_ms: u32,
}
