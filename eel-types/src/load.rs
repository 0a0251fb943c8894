//! Load reports of target nodes.

use serde::{Deserialize, Serialize};

/// What a target node reports about its load; it lags behind the truth by a link's delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the target may run at the same time.
    pub slots: u32,
    /// Online requests running.
    pub running_online: u32,
    /// Online requests waiting for a slot.
    pub queued_online: u32,
    /// Batch items running.
    pub running_batch: u32,
    /// Batch items that this entry node may send now.
    pub batch_credits: u32,
    /// How long the batch credits are good for.
    pub credit_valid_ms: u32,
}
