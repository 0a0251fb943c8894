//! What the command line fails with.

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
    Verb,
    /// The process could not be started, or ended early.
    #[error("the node stopped")]
    Node,
}
