//! What a target announces of itself.

use std::net::SocketAddr;

use eel_types::Name;

/// A target's announcement. `id` and `started_unix_ms` together name one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The target's id.
    pub id: Name,
    /// When this incarnation started, where the target says so.
    pub started_unix_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: Name,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work because it is about to leave.
    pub is_draining: bool,
}

impl TargetEntry {
    /// Returns whether `other` announces the same incarnation at the same place.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_unix_ms == other.started_unix_ms
            && self.address == other.address
            && self.service == other.service
    }
}
