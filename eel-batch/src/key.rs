//! Identifiers of jobs, chunks and items, and the keys under which they are stored.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

const HOUR_MS: u64 = 3_600_000;

/// Identifies a job: the first 128 bits of SHA-256 over its caller and idempotency key.
///
/// A resend to any entry node therefore finds the same head without an index of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u128);

impl JobId {
    /// Derives the identifier of the job that `caller` submits under `idempotency_key`.
    #[must_use]
    pub fn derive(caller: &str, idempotency_key: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((caller.len() as u64).to_be_bytes());
        hasher.update(caller);
        hasher.update(idempotency_key);
        let hash = hasher.finalize();
        let mut id = [0; 16];
        id.copy_from_slice(&hash[..16]);
        Self(u128::from_be_bytes(id))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

macro_rules! index {
    ($(#[doc = $doc:literal] $name:ident),*) => {$(
        #[doc = $doc]
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:06}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )*};
}

index!(
    #[doc = "The position of a chunk in its job, from 0."]
    ChunkIndex,
    #[doc = "The position of an item in its chunk, from 0."]
    ItemIndex,
    #[doc = "The position of a results part in its chunk, from 0."]
    PartIndex,
    #[doc = "The position of a window of started marks in its chunk, from 0."]
    WindowIndex
);

/// A key of a live job's state. Every entry node watches these keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StateKey {
    /// The job was accepted.
    Head(JobId),
    /// The job was cancelled.
    Cancel(JobId),
    /// An entry node holds the chunk.
    Claim(JobId, ChunkIndex),
    /// Every item of the chunk has its result.
    Done(JobId, ChunkIndex),
}

/// Builds and parses the keys under one prefix.
///
/// Every entry node watches `state/`, which therefore stays small. `data/` holds inputs, marks and results, and is only
/// read by key or by job.
#[derive(Clone, Debug)]
pub struct Keys {
    prefix: String,
}

impl Keys {
    /// Creates the keys under `prefix`, which has no trailing slash.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
        }
    }

    /// Creates the keys of batch jobs under the `prefix` of a fleet.
    #[must_use]
    pub fn of_fleet(prefix: &str) -> Self {
        Self::new(&format!("{prefix}/batch"))
    }

    /// Returns the common prefix of the state keys of all live jobs.
    #[must_use]
    pub fn states(&self) -> String {
        format!("{}/state/", self.prefix)
    }

    /// Returns the common prefix of the cancel keys of all live jobs.
    #[must_use]
    pub fn cancels(&self) -> String {
        format!("{}/state/cancel/", self.prefix)
    }

    /// Returns the common prefix of the claim keys of `job`.
    #[must_use]
    pub fn claims(&self, job: JobId) -> String {
        format!("{}/state/claim/{job}/", self.prefix)
    }

    /// Returns the common prefix of the done marks of `job`.
    #[must_use]
    pub fn dones(&self, job: JobId) -> String {
        format!("{}/state/done/{job}/", self.prefix)
    }

    /// Returns the key that stores `state`.
    #[must_use]
    pub fn state(&self, state: StateKey) -> String {
        let prefix = &self.prefix;
        match state {
            StateKey::Head(job) => format!("{prefix}/state/head/{job}"),
            StateKey::Cancel(job) => format!("{prefix}/state/cancel/{job}"),
            StateKey::Claim(job, chunk) => format!("{prefix}/state/claim/{job}/{chunk}"),
            StateKey::Done(job, chunk) => format!("{prefix}/state/done/{job}/{chunk}"),
        }
    }

    /// Parses a key under [`Keys::states`]; `None` for any other key.
    #[must_use]
    pub fn parse_state(&self, key: &str) -> Option<StateKey> {
        let rest = key.strip_prefix(&self.prefix)?.strip_prefix("/state/")?;
        let mut parts = rest.split('/');
        let kind = parts.next()?;
        let job = parts.next()?.parse().ok()?;
        let chunk = parts.next().map(str::parse).transpose().ok()?;
        match (kind, chunk, parts.next()) {
            ("head", None, None) => Some(StateKey::Head(job)),
            ("cancel", None, None) => Some(StateKey::Cancel(job)),
            ("claim", Some(chunk), None) => Some(StateKey::Claim(job, chunk)),
            ("done", Some(chunk), None) => Some(StateKey::Done(job, chunk)),
            _ => None,
        }
    }

    /// Returns the key of the archived head of a job that has ended.
    #[must_use]
    pub fn archive(&self, job: JobId) -> String {
        format!("{}/archive/{job}", self.prefix)
    }

    /// Returns the key that records when the data of `job` may be removed, rounded up to the hour.
    ///
    /// The hour comes first in the key, so that the first keys under [`Keys::expiries`] are due first.
    #[must_use]
    pub fn expiry(&self, remove_unix_ms: u64, job: JobId) -> String {
        let hour = remove_unix_ms.div_ceil(HOUR_MS);
        format!("{}/expiry/{hour:010}/{job}", self.prefix)
    }

    /// Returns the common prefix of all expiry keys.
    #[must_use]
    pub fn expiries(&self) -> String {
        format!("{}/expiry/", self.prefix)
    }

    /// Parses the time, in Unix time, and the job from a key under [`Keys::expiries`]; `None` for any other key.
    #[must_use]
    pub fn parse_expiry(&self, key: &str) -> Option<(u64, JobId)> {
        let rest = key.strip_prefix(&self.prefix)?.strip_prefix("/expiry/")?;
        let (hour, job) = rest.split_once('/')?;
        let hour: u64 = hour.parse().ok()?;
        Some((hour.checked_mul(HOUR_MS)?, job.parse().ok()?))
    }

    /// Returns the common prefix of the inputs, marks and results of `job`.
    #[must_use]
    pub fn data(&self, job: JobId) -> String {
        format!("{}/data/{job}/", self.prefix)
    }

    /// Returns the key of a chunk's input.
    ///
    /// The digest separates the inputs of two submissions with the same idempotency key but different content.
    #[must_use]
    pub fn input(&self, job: JobId, digest: &str, chunk: ChunkIndex) -> String {
        format!("{}in/{digest}/{chunk}", self.data(job))
    }

    /// Returns the common prefix of the keys that the holders of a chunk write: history, marks and results.
    #[must_use]
    pub fn work(&self, job: JobId, chunk: ChunkIndex) -> String {
        format!("{}work/{chunk}/", self.data(job))
    }

    /// Returns the key of the [`History`](crate::History) of a chunk.
    #[must_use]
    pub fn history(&self, job: JobId, chunk: ChunkIndex) -> String {
        format!("{}history", self.work(job, chunk))
    }

    /// Returns the common prefix of the started marks of a chunk.
    #[must_use]
    pub fn marks(&self, job: JobId, chunk: ChunkIndex) -> String {
        format!("{}started/", self.work(job, chunk))
    }

    /// Returns the key of a window of started marks.
    #[must_use]
    pub fn started(&self, job: JobId, chunk: ChunkIndex, window: WindowIndex) -> String {
        format!("{}{window}", self.marks(job, chunk))
    }

    /// Returns the common prefix of a chunk's results.
    #[must_use]
    pub fn outputs(&self, job: JobId, chunk: ChunkIndex) -> String {
        format!("{}out/", self.work(job, chunk))
    }

    /// Returns the key of a results part.
    #[must_use]
    pub fn output(&self, job: JobId, chunk: ChunkIndex, part: PartIndex) -> String {
        format!("{}{part}", self.outputs(job, chunk))
    }
}
