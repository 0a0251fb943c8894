//! Errors that end a node.

/// Why a gateway node failed to start or to keep running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A listener or the socket for load reports cannot be bound, or the admin pages cannot be served.
    #[error("a listener cannot be bound")]
    Bind,
    /// The HTTP client of the store cannot be created.
    #[error("the store client cannot be created")]
    Client,
    /// A supervised task exceeded its restart limit.
    #[error("a supervised task failed too often")]
    Supervisor,
}
