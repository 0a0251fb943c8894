//! Implements the subcommands of the command-line tool, without argument parsing.
//!
//! Each subcommand is a module with its own `Options`, `Outcome`, `Context` and `Error` beside one free function.
//! Outcomes print as text with `Display`, serialise as JSON for scripts, and map to an [`Exit`] status.

pub mod apply;
pub mod check;
mod exit;
pub mod explain;
pub mod get;
pub mod job;
pub mod keys;
mod lock;
pub mod plan;
mod report_format;
pub mod serve;
pub mod settings_check;
pub mod status;
mod store_records;

pub use exit::Exit;
pub use lock::{LOCK_FILE, LockFile};
pub use report_format::install_report_format;
pub use store_records::{StoredEntry, StoredRecords, config_prefix, read_records};
