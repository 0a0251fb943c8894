//! `job`: submits, follows and cancels batch jobs through an entry node.

mod client;
mod follow;
mod results;
mod submit;

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

use crate::Exit;

pub use client::JobClient;
pub use follow::follow;
pub use results::{ResultsOutcome, results};
pub use submit::{SubmitOptions, submit, submit_items};

/// What an entry node says about a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's identifier.
    pub id: String,
    /// The job's state, such as `running`, `completed` or `cancelled`.
    pub state: String,
    /// The number of items.
    #[serde(default)]
    pub items: u64,
    /// Items with a result.
    #[serde(default)]
    pub completed: u64,
    /// Items with a final error.
    #[serde(default)]
    pub failed: u64,
}

/// Why a job's call failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The items cannot be read, or the results cannot be written.
    #[error("cannot read or write the file")]
    File,
    /// No entry node gave an answer. Submitting again with the same idempotency key is safe.
    #[error("no entry node answered")]
    Unreachable,
    /// The entry node refused.
    #[error("refused with status {status}: {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The answer's body.
        body: String,
    },
    /// The answer is not what an entry node gives.
    #[error("the answer cannot be understood")]
    Answer,
}

impl JobStatus {
    /// Returns what the status means to a script.
    #[must_use]
    pub fn exit(&self) -> Exit {
        Exit::Success
    }

    /// Returns the number of items that have ended.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.completed + self.failed
    }

    /// Returns `true` if no item will change any more.
    #[must_use]
    pub fn is_final(&self) -> bool {
        let all_ended = self.items > 0 && self.ended() >= self.items;
        all_ended || matches!(self.state.as_str(), "completed" | "cancelled" | "failed")
    }
}

impl fmt::Display for JobStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            state,
            items,
            completed,
            failed,
        } = self;
        write!(
            f,
            "{id} {state}: {completed} of {items} completed, {failed} failed"
        )
    }
}
