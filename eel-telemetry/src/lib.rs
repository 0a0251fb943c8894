//! Logs, metrics and trace spans.

mod error;
pub mod logs;
pub mod metrics;
pub mod trace;

pub use error::Error;
