//! Numeric identifiers of requests, attempts, processes and store revisions.

use std::fmt;

use rand::RngExt as _;
use serde::{Deserialize, Serialize};

/// Identifies one request of a caller in every process that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Generates a random identifier with `rng`.
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        Self(rng.random())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The number of an attempt of one request, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u32);

/// Identifies one attempt of one request. A response is accepted only if it has the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The id of the request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: Attempt,
}

/// Distinguishes successive processes with the same VM name and address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Generates a random incarnation with `rng`.
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        Self(rng.random())
    }
}

/// A revision of the key-value service, which orders configuration states.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
