//! What stands in the key-value service for a job.

use bytes::Bytes;
use eel_types::Name;
use serde::{Deserialize, Serialize};

/// The head of a job, written with its items; it accepts the job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHead {
    /// The host that its items are sent to.
    pub host: Name,
    /// When it was submitted.
    pub submitted_unix_ms: u64,
    /// When all its results are due.
    pub due_unix_ms: u64,
    /// When an item that is still open may be given up.
    pub give_up_unix_ms: u64,
    /// The failed runs after which an item is given up.
    pub max_attempts: u32,
    /// The number of its items.
    pub items: u32,
    /// The number of parts in which the items are stored.
    pub parts: u32,
}

/// One item of a job: a request to be run later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The item's id.
    pub id: Name,
    /// The path to post it to.
    pub path: Name,
    /// Its headers.
    pub headers: Vec<(Name, Name)>,
    /// Its body; empty once its result is listed.
    pub body: Bytes,
    /// The tokens of its prompt and the most tokens of its output together.
    pub tokens: u64,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultState {
    /// Its whole output is there.
    Completed,
    /// It was given up.
    Errored,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// The item's index in the job.
    pub item: u32,
    /// How it ended.
    pub state: ResultState,
    /// The data of all its events, separated by line feeds.
    pub text: String,
}
