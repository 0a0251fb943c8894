//! Errors of links and of their codec.

/// Why a link or one of its streams failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The certificate, key or certificate authority cannot be used.
    #[error("the node's credentials cannot be used")]
    Credentials,
    /// The local UDP socket cannot be bound.
    #[error("the UDP socket cannot be bound")]
    Bind,
    /// The link cannot be established.
    #[error("the link cannot be established")]
    Connect,
    /// The stream or its link ended early.
    #[error("the stream ended early")]
    Closed,
    /// A frame is longer than [`codec::MAX_FRAME_BYTES`](crate::codec::MAX_FRAME_BYTES).
    #[error("a frame is too long")]
    TooLong,
    /// A frame cannot be encoded or decoded.
    #[error("a frame is malformed")]
    Malformed,
}
