//! `job`: submits, polls and cancels batch jobs through an entry node.

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

/// The status of a job, as the batch API returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The identifier of the job, for further calls.
    pub id: String,
    /// Whether the job is running, has completed or was cancelled.
    pub state: JobState,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// The total number of items.
    pub items: u64,
    /// The number of items with a complete response.
    pub completed: u64,
    /// The number of items that ended with a final error.
    pub failed: u64,
}

/// Reasons why a call of the batch API fails.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The items file cannot be read, or the results cannot be written.
    #[error("cannot read or write the file")]
    File,
    /// No connection to any entry node could be established.
    #[error("cannot reach any entry node")]
    Unreachable,
    /// The request may have reached an entry node, but no complete response came back.
    #[error("no entry node sent a complete response")]
    NoResponse,
    /// An entry node refused the request.
    #[error("the entry node refused the request with status {status}: {body}")]
    Refused {
        /// The HTTP status code.
        status: u16,
        /// Whether the response rules out that the request took effect.
        is_certain: bool,
        /// The response body.
        body: String,
    },
    /// The response body does not have the expected format.
    #[error("cannot parse the response of the entry node")]
    InvalidResponse,
}

impl Error {
    /// Returns the error for a request without a response; `in_doubt` if the request may have arrived.
    fn without_response(in_doubt: bool) -> Self {
        if in_doubt {
            Self::NoResponse
        } else {
            Self::Unreachable
        }
    }

    /// Returns `true` if a submission or cancellation that failed with this error may have taken effect.
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
    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        Exit::Success
    }

    /// Returns `true` if the job has ended, so that no item changes any more.
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
