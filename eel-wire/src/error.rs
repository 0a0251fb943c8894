//! The error type of links, credentials and the codec.

/// Errors of links and their streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A certificate or private key cannot be read, parsed, generated or used for TLS.
    #[error("cannot load or generate the TLS credentials")]
    Credentials,
    /// The local UDP socket cannot be bound.
    #[error("cannot bind the UDP socket")]
    Bind,
    /// The peer cannot be reached, or one side rejected the other's certificate.
    #[error("cannot establish the link")]
    Connect,
    /// The stream or its link ended before the exchange was complete.
    #[error("the stream was closed early")]
    Closed,
    /// A frame is longer than [`codec::MAX_FRAME_BYTES`](crate::codec::MAX_FRAME_BYTES).
    #[error("a frame exceeds the maximum length")]
    TooLong,
    /// A frame cannot be encoded or decoded, or its message is not allowed at this point.
    #[error("a message is malformed or unexpected")]
    Malformed,
}
