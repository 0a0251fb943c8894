//! The error type of the entry node.

/// Errors that keep the entry node from starting or end its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The TLS certificates or the private key cannot be loaded.
    #[error("cannot load the node's TLS credentials")]
    Credentials,
    /// A TCP listener or a QUIC endpoint cannot be bound.
    #[error("cannot bind a listener")]
    Bind,
    /// The client of the key-value service or of the VM list cannot be created.
    #[error("cannot create the store client or the VM list client")]
    Client,
    /// A supervised task exceeded its restart limit.
    #[error("a supervised task failed too often")]
    Supervisor,
}
