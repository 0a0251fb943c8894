//! Errors of telemetry.

/// Why telemetry cannot be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The log or trace file cannot be opened.
    #[error("a telemetry file cannot be opened")]
    File,
    /// A logger is installed already.
    #[error("a logger is installed already")]
    LoggerInstalled,
    /// The metrics cannot be encoded.
    #[error("the metrics cannot be encoded")]
    Encode,
}
