//! The values stored in the key-value service for a job.

use bytes::Bytes;
use eel_types::Name;
use serde::{Deserialize, Serialize};

/// The head of a job. Writing it together with the items accepts the job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHead {
    /// The host that the items are sent to; with an item's path, it selects the route.
    pub host: Name,
    /// When the job was submitted, in Unix time. All times are those of the clock of the node that accepted the job.
    pub submitted_unix_ms: u64,
    /// The deadline for all results, in Unix time.
    pub due_unix_ms: u64,
    /// When items without a result may be given up, in Unix time.
    pub give_up_unix_ms: u64,
    /// The number of failed runs after which an item is given up.
    pub max_attempts: u32,
    /// The number of items.
    pub items: u32,
    /// The number of parts into which the encoded items are split.
    pub parts: u32,
    /// The tenant that submitted the job; `None` if there were no tenants.
    #[serde(skip)]
    pub tenant: Option<Name>,
}

impl JobHead {
    /// Returns how long after its submission items of the job may be given up, in ms.
    #[must_use]
    pub fn give_up_ms(&self) -> u64 {
        self.give_up_unix_ms.saturating_sub(self.submitted_unix_ms)
    }

    /// Returns whether callers of `tenant` may read and end the job. Without tenants, and for a job that was submitted
    /// without one, all callers may.
    #[must_use]
    pub fn may_be_used_by(&self, tenant: Option<&Name>) -> bool {
        match (&self.tenant, tenant) {
            (Some(owner), Some(tenant)) => owner == tenant,
            (None, _) | (_, None) => true,
        }
    }

    /// Encodes the head as a store value. The tenant follows the other fields, where earlier versions do not read.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        match &self.tenant {
            None => postcard::to_stdvec(self),
            Some(tenant) => postcard::to_stdvec(&(self, tenant)),
        }
    }

    /// Decodes a store value, also one of an earlier version.
    pub(crate) fn decode(value: &[u8]) -> Result<Self, postcard::Error> {
        let (head, rest) = postcard::take_from_bytes::<Self>(value)?;
        let tenant = if rest.is_empty() {
            None
        } else {
            Some(postcard::from_bytes(rest)?)
        };
        Ok(Self { tenant, ..head })
    }
}

/// One item of a job: a request that is run later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The id that the caller gave the item.
    pub id: Name,
    /// The path of the POST request.
    pub path: Name,
    /// The headers of the request, as names and values.
    pub headers: Vec<(Name, Name)>,
    /// The body of the request; emptied in memory once the result is listed.
    pub body: Bytes,
    /// The number of prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultState {
    /// The output is complete.
    Completed,
    /// The item was given up, or the target rejected it.
    Errored,
}

/// The stored result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// The index of the item in the job.
    pub item: u32,
    /// Whether the output is complete.
    pub state: ResultState,
    /// The data of all events of the output, separated by line feeds; empty for an errored item.
    pub text: String,
}
