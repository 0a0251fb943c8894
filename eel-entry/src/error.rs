//! Errors of the entry node.

/// Why the entry node cannot start or go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The node's credentials cannot be used.
    #[error("the node's credentials cannot be used")]
    Credentials,
    /// A listener cannot be bound.
    #[error("a listener cannot be bound")]
    Bind,
    /// The client of the key-value service or of the VM list cannot be set up.
    #[error("a client of the platform cannot be set up")]
    Client,
    /// A part of the process failed too often.
    #[error("a part of the process failed too often")]
    Supervisor,
}
