//! Faults that the stand-in engine can show.

/// A fault of every request that arrives while it is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Requests are executed and get a complete response.
    #[default]
    None,
    /// The connection closes before the request is executed.
    CloseBeforeExecution,
    /// The request is executed, and the connection closes before a response is sent.
    CloseAfterExecution,
    /// The connection closes after this many parts of the response body.
    TruncateAfter {
        /// Parts sent before the connection closes.
        parts: usize,
    },
    /// The request is executed, and nothing is ever sent.
    Hang,
    /// Nothing is sent after this many parts of the response body; the connection stays open.
    HangAfter {
        /// Parts sent before the response stalls.
        parts: usize,
    },
    /// The request is not executed, and a response with this status is sent at once.
    Status(u16),
}
