//! A target's entry in the platform's store.

use std::net::SocketAddr;

use eel_types::Name;

use crate::stable_hash;

/// What a target announces about itself. `id` and `started_unix_ms` together identify one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The target's id, which all its incarnations share.
    pub id: Name,
    /// When this incarnation started, in Unix time; `None` if the target does not announce it.
    pub started_unix_ms: Option<u64>,
    /// The service whose requests the target runs.
    pub service: Name,
    /// The version of the target's software; `None` if the target does not announce it. A stream that one version began
    /// can be continued by the same version only.
    pub version: Option<Name>,
    /// The address that accepts requests.
    pub address: SocketAddr,
    /// The data centre that the target runs in.
    pub data_centre: Name,
    /// How many requests the target runs at once.
    pub slots: u32,
    /// Whether the target accepts no new work because it is about to leave.
    pub is_draining: bool,
}

impl TargetEntry {
    /// Returns the version for the log; empty if the target does not announce it.
    #[must_use]
    pub fn version_text(&self) -> &str {
        self.version.as_ref().map_or("", Name::as_str)
    }

    /// Returns a hash of the id and start, the same on every node.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        let started_unix_ms = self.started_unix_ms.unwrap_or_default();
        stable_hash(&format!("{}/{started_unix_ms}", self.id))
    }

    /// Returns whether `other` announces the same incarnation, with the same version and service, at the same address.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_unix_ms == other.started_unix_ms
            && self.address == other.address
            && self.service == other.service
            && self.version == other.version
    }
}
