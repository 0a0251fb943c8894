//! Arguments of the verbs on records.

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

/// Show what apply would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanOptions {
    /// record (kind/name) whose version in the store may be overwritten; may be repeated
    #[argh(option)]
    pub overwrite: Vec<RecordKey>,
    /// delete records that the directory no longer declares
    #[argh(switch)]
    pub prune: bool,
    /// directory of record files
    #[argh(positional)]
    pub directory: PathBuf,
}

/// Bring the records of a directory into the store.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyOptions {
    /// record (kind/name) whose version in the store may be overwritten; may be repeated
    #[argh(option)]
    pub overwrite: Vec<RecordKey>,
    /// delete records that the directory no longer declares
    #[argh(switch)]
    pub prune: bool,
    /// directory of record files
    #[argh(positional)]
    pub directory: PathBuf,
}

/// Print records as the store holds them.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetOptions {
    /// a kind or a record (kind/name); everything if missing
    #[argh(positional)]
    pub what: Option<String>,
}

/// Show for each record which nodes have it in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusOptions {
    /// admin URL of an entry node; may be repeated
    #[argh(option)]
    pub node: Vec<Name>,
}

/// Converts the argument of `get`.
pub fn parse_selector(what: Option<&str>) -> Result<eel_core::get::Options, String> {
    use eel_core::get::Options;
    match what {
        None => Ok(Options::All),
        Some(text) if text.contains('/') => text.parse().map(Options::Record),
        Some(text) => text.parse().map(Options::Kind),
    }
}
