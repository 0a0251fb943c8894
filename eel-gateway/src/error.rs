//! Why a node ended.

/// Why a node cannot start or go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("an address cannot be bound")]
    Bind,
    /// The client of the store cannot be set up.
    #[error("the client of the store cannot be set up")]
    Client,
    /// A part of the process failed too often.
    #[error("a part of the process failed too often")]
    Supervisor,
}
