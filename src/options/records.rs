//! Command-line arguments of the subcommands for records.

use std::path::PathBuf;

use argh::FromArgs;
use eel_record::RecordKey;
use eel_types::Name;

/// Validate the records of a directory.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckOptions {
    /// directory of record files
    #[argh(positional)]
    pub directory: PathBuf,
}

/// Show the changes that apply would make.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanOptions {
    /// record (kind/name) to overwrite even if another operator changed it; may be repeated
    #[argh(option)]
    pub overwrite: Vec<RecordKey>,
    /// delete records that the directory no longer declares
    #[argh(switch)]
    pub prune: bool,
    /// directory of record files
    #[argh(positional)]
    pub directory: PathBuf,
}

/// Write the records of a directory to the store.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyOptions {
    /// record (kind/name) to overwrite even if another operator changed it; may be repeated
    #[argh(option)]
    pub overwrite: Vec<RecordKey>,
    /// delete records that the directory no longer declares
    #[argh(switch)]
    pub prune: bool,
    /// directory of record files
    #[argh(positional)]
    pub directory: PathBuf,
}

/// Print records from the store.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetOptions {
    /// a kind or a record (kind/name); all records if missing
    #[argh(positional)]
    pub what: Option<String>,
}

/// Show on which nodes each record is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusOptions {
    /// admin URL of an entry node; may be repeated
    #[argh(option)]
    pub node: Vec<Name>,
}

/// Parses the argument of `get`: nothing, a kind, or a kind and name separated by `/`.
pub fn parse_selector(what: Option<&str>) -> Result<eel_core::get::Options, String> {
    use eel_core::get::Options;
    match what {
        None => Ok(Options::All),
        Some(text) if text.contains('/') => text.parse().map(Options::Record),
        Some(text) => text.parse().map(Options::Kind),
    }
}
