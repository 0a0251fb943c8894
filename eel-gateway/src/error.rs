//! Errors that end a node.

/// Why a gateway node cannot start or keep running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A listener or the socket for load reports cannot be bound, or the admin pages cannot be served.
    #[error("cannot bind a listener")]
    Bind,
    /// The HTTP client of the store cannot be created.
    #[error("cannot create the store client")]
    Client,
    /// A supervised task exceeded its restart limit.
    #[error("a supervised task failed too often")]
    Supervisor,
}
