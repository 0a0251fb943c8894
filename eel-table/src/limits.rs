//! What callers may send and how long they may take.

/// Limits of one request and one connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest head of a request.
    pub header_bytes: usize,
    /// The largest body of a request.
    pub body_bytes: usize,
    /// How long a caller may take to send a head.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle between two requests.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
