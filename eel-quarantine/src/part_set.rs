//! Sets of parts.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::Part;

/// Parts that crash targets if a prompt has all of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartSet(Vec<Part>);

impl PartSet {
    /// Creates the set of `parts`.
    #[must_use]
    pub fn new(mut parts: Vec<Part>) -> Self {
        parts.sort_unstable();
        parts.dedup();
        Self(parts)
    }

    /// Returns the number of parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the set has no parts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether `parts` has all parts of the set.
    #[must_use]
    pub fn is_within(&self, parts: &[Part]) -> bool {
        !self.is_empty() && self.0.iter().all(|part| parts.contains(part))
    }

    /// Removes the parts that `parts` does not have.
    pub(crate) fn retain(&mut self, parts: &[Part]) {
        self.0.retain(|part| parts.contains(part));
    }

    /// Returns a hash of the parts, the same on every node.
    #[must_use]
    pub fn id(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for part in &self.0 {
            hasher.update(&part.to_bytes());
        }
        hasher.digest()
    }
}

impl fmt::Display for PartSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{part}")?;
        }
        Ok(())
    }
}
