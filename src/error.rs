//! Errors of the command-line tool.

use eel_core::Exit;
use thiserror::Error as ThisError;

/// Reasons why a command fails.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The command-line arguments are invalid.
    #[error("invalid arguments: {0}")]
    Arguments(String),
    /// A file cannot be read or written.
    #[error("cannot read or write a file")]
    File,
    /// The command failed without effect.
    #[error("the command failed")]
    Command,
    /// The result of the command is unknown; it may have taken effect.
    #[error(
        "the command may have taken effect; it is safe to repeat with the same idempotency key"
    )]
    OutcomeUnknown,
    /// The node could not start, or stopped with an error.
    #[error("the node stopped with an error")]
    Node,
}

impl Error {
    /// Returns the exit status for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Arguments(_) | Self::File | Self::Command | Self::Node => Exit::Failure,
            Self::OutcomeUnknown => Exit::Unknown,
        }
    }
}
