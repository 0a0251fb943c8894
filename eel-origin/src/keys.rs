//! The keys of origins in the store.

use eel_types::Name;
use xxhash_rust::xxh3::xxh3_64;

const ORIGINS: &str = "origins/";
const DEFAULTS: &str = "default/";
const STREAMS: &str = "streams/";

/// Builds and parses the keys under one prefix.
#[derive(Clone, Debug)]
pub struct Keys {
    prefix: Name,
}

/// What a key of origins holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginKey {
    /// The default version of a service.
    Default,
    /// Streams of one node.
    Streams,
}

impl Keys {
    /// Creates the keys under `prefix`, which ends with `/`.
    #[must_use]
    pub fn new(prefix: Name) -> Self {
        Self { prefix }
    }

    /// Returns the common prefix of all keys of origins.
    #[must_use]
    pub fn all(&self) -> String {
        format!("{}{ORIGINS}", self.prefix)
    }

    /// Returns the common prefix of the keys of default versions.
    #[must_use]
    pub fn all_defaults(&self) -> String {
        format!("{}{DEFAULTS}", self.all())
    }

    /// Returns the key of the default version of `service`.
    #[must_use]
    pub fn default_version(&self, service: &str) -> String {
        let hash = xxh3_64(service.as_bytes());
        format!("{}{hash:016x}", self.all_defaults())
    }

    /// Returns the key of record number `sequence` of an incarnation of `node`.
    #[must_use]
    pub fn streams(&self, node: &str, incarnation: u64, sequence: u64) -> String {
        let all = self.all();
        format!("{all}{STREAMS}{node}/{incarnation:016x}-{sequence:08}")
    }

    /// Parses a key; `None` if it is not one of origins.
    #[must_use]
    pub fn parse(&self, key: &str) -> Option<OriginKey> {
        let rest = key
            .strip_prefix(self.prefix.as_str())?
            .strip_prefix(ORIGINS)?;
        if rest.starts_with(DEFAULTS) {
            Some(OriginKey::Default)
        } else {
            rest.starts_with(STREAMS).then_some(OriginKey::Streams)
        }
    }
}
