//! The error type of links, credentials and the codec.

/// Errors of links and their streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A certificate or private key cannot be read, parsed, generated or used for TLS.
    #[error("invalid node credentials")]
    Credentials,
    /// The local UDP socket cannot be bound.
    #[error("failed to bind the UDP socket")]
    Bind,
    /// The peer cannot be reached, or one side rejected the other's certificate.
    #[error("failed to establish the link")]
    Connect,
    /// The stream or its link ended before the exchange was complete.
    #[error("the stream was closed early")]
    Closed,
    /// A frame is longer than [`codec::MAX_FRAME_BYTES`](crate::codec::MAX_FRAME_BYTES).
    #[error("a frame exceeds the maximum length")]
    TooLong,
    /// A frame cannot be encoded or decoded, or its message is not allowed at this point.
    #[error("malformed or unexpected message")]
    Malformed,
}
