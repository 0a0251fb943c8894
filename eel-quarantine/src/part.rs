//! The parts of a prompt.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A part of a prompt that requests may share, by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part(u64);

impl Part {
    /// Creates a part from its id in hexadecimal. An id that is not a number of 64 bits is hashed.
    #[must_use]
    pub fn from_id(id: &str) -> Self {
        Self(u64::from_str_radix(id, 16).unwrap_or_else(|_| xxh3_64(id.as_bytes())))
    }

    pub(crate) fn from_bytes(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }

    /// Returns the part as a number.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }

    pub(crate) fn to_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
