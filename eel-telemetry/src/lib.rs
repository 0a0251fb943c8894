//! Logs, metrics and trace spans.

mod error;
mod json_lines;
pub mod logs;
pub mod metrics;
pub mod trace;

pub use error::Error;
