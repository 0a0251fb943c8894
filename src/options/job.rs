//! Command-line arguments of `job`.

use std::path::PathBuf;

use argh::FromArgs;
use eel_types::Name;

/// Submit, watch and cancel batch jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub struct JobOptions {
    /// URL of an entry node or its load balancer; may be repeated
    #[argh(option)]
    pub entry: Vec<Name>,
    /// file that holds the caller's key
    #[argh(option)]
    pub key_file: PathBuf,
    #[argh(subcommand)]
    pub command: JobCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum JobCommand {
    Submit(JobSubmitOptions),
    Get(JobGetOptions),
    Results(JobResultsOptions),
    Cancel(JobCancelOptions),
}

/// Submit a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct JobSubmitOptions {
    /// service that runs the items
    #[argh(option)]
    pub service: Name,
    /// time from now to the job's deadline, in seconds
    #[argh(option)]
    pub deadline_s: u64,
    /// allow an item to run more than once
    #[argh(switch)]
    pub repeatable: bool,
    /// key that makes repeated submissions create the job only once (default: random, printed)
    #[argh(option)]
    pub idempotency_key: Option<Name>,
    /// wait until every item has ended
    #[argh(switch)]
    pub wait: bool,
    /// file with one JSON item per line
    #[argh(positional)]
    pub items: PathBuf,
}

/// Show the state of a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct JobGetOptions {
    /// wait until every item has ended
    #[argh(switch)]
    pub wait: bool,
    /// identifier of the job
    #[argh(positional)]
    pub id: String,
}

/// Write the results of a job, one JSON object per line, in the order of the items.
#[derive(FromArgs)]
#[argh(subcommand, name = "results")]
pub struct JobResultsOptions {
    /// wait until every item has ended, instead of stopping at the first that has not
    #[argh(switch)]
    pub wait: bool,
    /// file to write to (default: standard output)
    #[argh(option)]
    pub output: Option<PathBuf>,
    /// identifier of the job
    #[argh(positional)]
    pub id: String,
}

/// Cancel a job; results of items that have ended stay readable.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancelOptions {
    /// identifier of the job
    #[argh(positional)]
    pub id: String,
}
