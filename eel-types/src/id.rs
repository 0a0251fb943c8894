//! Numbers that identify requests, processes and configuration states.

use std::fmt;

use rand::RngExt as _;
use serde::{Deserialize, Serialize};

/// Identifies one caller request through every process that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Draws a random identifier from `rng`.
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        Self(rng.random())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Counts the attempts of one request, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u32);

/// Identifies one attempt of one request; an answer counts only if it carries the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: Attempt,
}

/// Distinguishes successive processes that run under the same VM name and address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a random incarnation from `rng`.
    pub fn random(rng: &mut impl rand::Rng) -> Self {
        Self(rng.random())
    }
}

/// A revision of the key-value service; configuration is ordered by it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
