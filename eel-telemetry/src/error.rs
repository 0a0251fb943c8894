//! Errors of telemetry setup and metrics encoding.

/// Reasons why telemetry cannot be set up or encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The log or trace file cannot be opened.
    #[error("cannot open the log or trace file")]
    File,
    /// A logger is already installed, or its thread cannot be started.
    #[error("cannot install the logger")]
    LoggerInstalled,
    /// The metrics cannot be encoded.
    #[error("cannot encode the metrics")]
    Encode,
}
