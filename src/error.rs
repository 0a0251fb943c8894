//! What the command line fails with.

use eel_core::Exit;
use thiserror::Error as ThisError;

/// Why a command could not be carried out.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The arguments cannot be used.
    #[error("wrong arguments: {0}")]
    Arguments(String),
    /// A file cannot be read or written.
    #[error("cannot read or write a file")]
    File,
    /// The verb failed, and had no effect.
    #[error("the command failed")]
    Command,
    /// No certain answer came; the command may have taken effect.
    #[error(
        "the command may have taken effect; it is safe to repeat with the same idempotency key"
    )]
    OutcomeUnknown,
    /// The process could not be started, or ended early.
    #[error("the node stopped")]
    Node,
}

impl Error {
    /// Returns what the error means to a script.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Arguments(_) | Self::File | Self::Command | Self::Node => Exit::Failure,
            Self::OutcomeUnknown => Exit::Unknown,
        }
    }
}
