//! The error type of the target node.

/// Errors that keep the target node from starting or end its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The TLS certificates or the private key cannot be loaded.
    #[error("cannot load the node's TLS credentials")]
    Credentials,
    /// A TCP listener or the QUIC endpoint cannot be bound.
    #[error("cannot bind a listener")]
    Bind,
    /// The HTTP client for the target cannot be created.
    #[error("cannot create the HTTP client for the target")]
    Client,
    /// A supervised task exceeded its restart limit.
    #[error("a supervised task failed too often")]
    Supervisor,
}
