//! The load reports that nodes send to each other, each in one datagram.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How long a peer's report counts without a newer one: five of the usual report intervals.
pub(crate) const REPORT_TTL_MS: u64 = 1_000;

/// Hashes the name of a target or service, with the same result on every node.
#[must_use]
pub fn stable_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The load of one node at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// [`stable_hash`] of the target's id.
    pub target: u64,
    /// Online requests in flight.
    pub online: u16,
    /// Batch items in flight.
    pub batch: u16,
}

/// How many of a node's requests wait for a slot of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingCount {
    /// [`stable_hash`] of the service's name.
    pub service: u64,
    /// The number of queued online requests.
    pub waiting: u16,
}

/// The load of one node at all targets; a newer report replaces an older one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The secret that the receiver published for its peers; a datagram without it is dropped.
    pub token: u64,
    /// The sender's incarnation.
    pub sender: u64,
    /// The sender's number of the report; it rises with each one.
    pub sequence: u64,
    /// The newest store revision that the sender may have shown to callers.
    pub shown_revision: u64,
    /// Whether the store responded to the sender recently.
    pub reaches_store: bool,
    /// Whether the sender currently accepts items of batch jobs.
    pub takes_batch: bool,
    /// The targets at which the sender has attempts in flight.
    pub targets: Vec<TargetLoad>,
    /// The services for which the sender has requests waiting.
    pub waiting: Vec<WaitingCount>,
}

/// A report could not be encoded, or a datagram is not a valid report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot encode or decode a load report")]
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
    /// [`ReportError`] if the datagram is truncated or not a report.
    pub fn decode(datagram: &[u8]) -> Result<Self, ReportError> {
        postcard::from_bytes(datagram).map_err(|_| ReportError)
    }
}
