//! `job`: submits, follows and cancels batch jobs through an entry node.

mod client;
mod declared;
mod follow;
mod results;
mod submit;

use std::fmt;

use eel_batch::JobState;
use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

use crate::Exit;

pub use client::JobClient;
pub use declared::{DeclaredJob, resolve_jobs};
pub use follow::follow;
pub use results::{ResultsOutcome, results};
pub use submit::{SubmitOptions, submit, submit_items};

/// What an entry node says about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's identifier.
    pub id: String,
    /// The job's state.
    pub state: JobState,
    /// When the job is due, in Unix time.
    pub deadline_unix_ms: u64,
    /// The number of items.
    pub items: u64,
    /// Items with a whole answer.
    pub completed: u64,
    /// Items with a final error.
    pub failed: u64,
}

/// Why a job's call failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The items cannot be read, or the results cannot be written.
    #[error("cannot read or write the file")]
    File,
    /// No entry node could be connected to.
    #[error("no entry node can be reached")]
    Unreachable,
    /// An entry node took the call and gave no whole answer.
    #[error("no entry node answered")]
    NoResponse,
    /// The entry node refused.
    #[error("refused with status {status}: {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// Whether the answer rules out that the call took effect.
        is_certain: bool,
        /// The answer's body.
        body: String,
    },
    /// The answer is not what an entry node gives.
    #[error("the answer cannot be understood")]
    InvalidResponse,
}

impl Error {
    /// Nobody answered; `in_doubt` if the call may have arrived.
    fn without_response(in_doubt: bool) -> Self {
        if in_doubt {
            Self::NoResponse
        } else {
            Self::Unreachable
        }
    }

    /// Returns `true` if a submission or a cancel that ended so may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::File | Self::Unreachable => false,
            Self::NoResponse | Self::InvalidResponse => true,
            Self::Refused { is_certain, .. } => !is_certain,
        }
    }
}

impl JobStatus {
    /// Returns what the status means to a script.
    #[must_use]
    pub fn exit(&self) -> Exit {
        Exit::Success
    }

    /// Returns `true` if no item will change any more.
    #[must_use]
    pub fn is_final(&self) -> bool {
        match self.state {
            JobState::Completed | JobState::Cancelled => true,
            JobState::InProgress | JobState::Cancelling => false,
        }
    }
}

impl fmt::Display for JobStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.state {
            JobState::InProgress => "in progress",
            JobState::Cancelling => "cancelling",
            JobState::Cancelled => "cancelled",
            JobState::Completed => "completed",
        };
        write!(
            f,
            "{} {state}: {} of {} items completed, {} failed",
            self.id, self.completed, self.items, self.failed
        )
    }
}
