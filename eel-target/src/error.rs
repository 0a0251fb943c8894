//! Errors of the target node.

/// Why the target node cannot start or go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The node's credentials cannot be used.
    #[error("the node's credentials cannot be used")]
    Credentials,
    /// A listener cannot be bound.
    #[error("a listener cannot be bound")]
    Bind,
    /// The HTTP client of the target cannot be set up.
    #[error("the HTTP client cannot be set up")]
    Client,
    /// A part of the process failed too often.
    #[error("a part of the process failed too often")]
    Supervisor,
}
