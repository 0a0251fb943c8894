//! Leases of the key-value service.

use std::fmt;

/// The identifier of a lease; displayed in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A lease, with the time to live that its grant or last extension returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The identifier of the lease.
    pub id: LeaseId,
    /// The time to live. To be safe, count it from before the call that granted or extended the lease.
    pub ttl_ms: u64,
}
