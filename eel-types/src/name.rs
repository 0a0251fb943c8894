//! Immutable names with shared storage.

use std::{borrow::Borrow, convert::Infallible, fmt, ops::Deref, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The maximum length of a name in records and settings.
const MAX_IDENTIFIER_BYTES: usize = 63;

/// The name of a record, VM, data centre or caller: an immutable, reference-counted string that is cheap to clone.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns `true` for 1 to 63 ASCII letters, digits, `-`, `_` or `.`, starting with a letter or digit.
    #[must_use]
    pub fn is_identifier(&self) -> bool {
        let starts_well = self.0.starts_with(|c: char| c.is_ascii_alphanumeric());
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        starts_well && self.0.len() <= MAX_IDENTIFIER_BYTES && self.0.chars().all(is_allowed)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl FromStr for Name {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::from(text))
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}
