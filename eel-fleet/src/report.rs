//! What the nodes tell one another about their load, in one datagram.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How long a peer's report counts without a newer one, in ms: five of the usual intervals.
pub(crate) const REPORT_TTL_MS: u64 = 1_000;

/// Names a target or service on every node alike.
#[must_use]
pub fn stable_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What one node has in flight at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// [`stable_hash`] of the target's id.
    pub target: u64,
    /// Online requests.
    pub online: u16,
    /// Batch items.
    pub batch: u16,
}

/// How many of a node's requests wait for a slot of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingCount {
    /// [`stable_hash`] of the service's name.
    pub service: u64,
    /// The requests that wait.
    pub waiting: u16,
}

/// A node's whole load; a newer report replaces an older one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The secret that the receiver published for its peers; a datagram without it is dropped.
    pub token: u64,
    /// The sender's incarnation.
    pub sender: u64,
    /// Counts the sender's reports.
    pub sequence: u64,
    /// The newest revision of the store of which the sender may have shown something.
    pub shown_revision: u64,
    /// Whether the store answered the sender lately.
    pub reaches_store: bool,
    /// Whether the sender takes items of batch jobs at present.
    pub takes_batch: bool,
    /// The targets at which the sender has something in flight.
    pub targets: Vec<TargetLoad>,
    /// The services for which the sender has requests waiting.
    pub waiting: Vec<WaitingCount>,
}

/// A datagram is no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the datagram is no load report")]
pub struct ReportError;

impl PeerReport {
    /// Encodes the report for one datagram.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, ReportError> {
        postcard::to_stdvec(self).map_err(|_| ReportError)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if it is no report.
    pub fn decode(datagram: &[u8]) -> Result<Self, ReportError> {
        postcard::from_bytes(datagram).map_err(|_| ReportError)
    }
}
