//! Leases of the key-value service.

use std::fmt;

/// Identifies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A lease as it was granted or last extended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The lease's identifier.
    pub id: LeaseId,
    /// Its time to live. Count it from before the call that granted or extended the lease.
    pub ttl_ms: u64,
}
