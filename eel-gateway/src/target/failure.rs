//! Why an attempt has no usable response, and what proves that it did not run.

use eel_fleet::AttemptOutcome;
use eel_verdict::Verdict;

/// Why an attempt has no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFailure {
    /// No connection to the target could be opened.
    #[error("the target cannot be reached")]
    NoConnection,
    /// The process at the target's address did not respond to the question when it started; the request was
    /// not sent.
    #[error("the target did not say which process it is")]
    NoIdentity,
    /// The process at the target's address is not known to be the one that the entry announces; the request was not sent.
    #[error("the process at the address may be another one")]
    OtherProcess,
    /// The connection ended before any byte of the request was written.
    #[error("the connection ended before the request was written")]
    NotWritten,
    /// The target is full and did not run the request.
    #[error("the target is full")]
    Full,
    /// Another target listens at the address and did not run the request.
    #[error("another target listens at the address")]
    Misdirected,
    /// The target's status promises that the request did not run, without the proof.
    #[error("the target refuses without saying that the request did not run")]
    Unproven,
    /// The connection failed after the request was sent, or the response is truncated, unverified, or for another
    /// request.
    #[error("the answer is broken")]
    InvalidResponse,
    /// The body of the response ended within an event, or without one.
    #[error("the answer ended early")]
    Truncated,
    /// The body of the response ended with its connection, and the target that sent it has ended or does not respond.
    #[error("the answer may have ended early")]
    Unsettled,
    /// The target did not respond in time.
    #[error("the target did not respond in time")]
    TimedOut,
}

impl AttemptFailure {
    /// Returns whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::NoConnection
            | Self::NoIdentity
            | Self::OtherProcess
            | Self::NotWritten
            | Self::Full
            | Self::Misdirected => Verdict::NotRun,
            Self::Unproven
            | Self::InvalidResponse
            | Self::Truncated
            | Self::Unsettled
            | Self::TimedOut => Verdict::MayHaveRun,
        }
    }

    /// Returns the evidence that the request did not run, as logs and metrics name it; `None` if it may have run.
    pub fn evidence(self) -> Option<&'static str> {
        match self {
            Self::NoConnection => Some("not_connected"),
            Self::NoIdentity => Some("no_identity"),
            Self::OtherProcess => Some("other_process"),
            Self::NotWritten => Some("not_written"),
            Self::Full => Some("refused"),
            Self::Misdirected => Some("misdirected"),
            Self::Unproven
            | Self::InvalidResponse
            | Self::Truncated
            | Self::Unsettled
            | Self::TimedOut => None,
        }
    }

    /// Returns how the choice of targets counts it.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Full => AttemptOutcome::Full,
            Self::Unproven => AttemptOutcome::Errored,
            Self::NoConnection
            | Self::NoIdentity
            | Self::OtherProcess
            | Self::NotWritten
            | Self::Misdirected
            | Self::InvalidResponse
            | Self::Truncated
            | Self::Unsettled
            | Self::TimedOut => AttemptOutcome::Failed,
        }
    }
}
