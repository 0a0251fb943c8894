//! Faults of the stand-in engine.

/// What goes wrong with the requests that arrive from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The connection closes before the request is executed.
    CloseBeforeExecution,
    /// The request is executed and the connection closes without an answer.
    CloseAfterExecution,
    /// The connection closes after this many parts of the answer.
    TruncateAfter {
        /// Parts sent before the cut.
        parts: usize,
    },
    /// The request is executed and no byte ever comes.
    Hang,
    /// Nothing comes after this many parts of the answer.
    HangAfter {
        /// Parts sent before the silence.
        parts: usize,
    },
    /// The request is not executed and an error status comes at once.
    Status(u16),
}
