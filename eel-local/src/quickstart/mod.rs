//! The `quickstart` command: starts a small fleet, serves a few requests and a batch job, and drains the fleet.
//!
//! One entry node and two target nodes run in this process, with stand-ins for the platform, a model engine and a plain
//! service. The records are applied by the same code as the `apply` command.

mod fleet;
mod job;
mod outcome;
mod requests;
mod trace_file;

use std::path::PathBuf;

use eel_telemetry::trace;
use error_stack::{Report, ResultExt as _};

use fleet::Fleet;
pub use job::JobOutcome;
pub use outcome::Outcome;
pub use requests::{Response, Step};
pub use trace_file::SpanRecord;

const TRACE_FILE: &str = "trace.jsonl";

/// Options of [`quickstart`].
#[derive(Clone, Debug)]
pub struct Options {
    /// An empty directory for records, certificates, settings and the trace file.
    pub directory: PathBuf,
}

/// Why the quickstart failed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be written or read.
    #[error("cannot write or read a file")]
    File,
    /// A stand-in or node cannot start or did not become ready.
    #[error("cannot start the fleet")]
    Start,
    /// The records cannot be applied.
    #[error("cannot apply the records")]
    Records,
    /// A request got no complete response.
    #[error("a request got no complete response")]
    Request,
    /// The batch job cannot be submitted or its results cannot be read.
    #[error("cannot run the batch job")]
    Job,
    /// A node ended with an error while it drained.
    #[error("cannot drain the fleet")]
    Drain,
}

/// Runs the quickstart and returns what it prints.
///
/// # Errors
///
/// [`Error`] names the part that failed.
pub async fn quickstart(options: &Options) -> Result<Outcome, Report<Error>> {
    let trace_file = options.directory.join(TRACE_FILE);
    trace::install_file(&trace_file).change_context(Error::File)?;
    let fleet = Fleet::start(&options.directory).await?;
    let responses = requests::send_all(&fleet).await?;
    let job = job::run(&fleet).await?;
    let records = fleet.applied.clone();
    fleet.drain().await?;
    trace::flush();
    let hops = trace_file::read(&trace_file)?;
    Ok(Outcome {
        records,
        answers: responses,
        job,
        hops,
    })
}
