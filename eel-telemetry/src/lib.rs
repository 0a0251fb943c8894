//! Sets up logs, metrics and trace spans of a process.

mod error;
mod json_lines;
pub mod logs;
pub mod metrics;
pub mod trace;

pub use error::Error;
