//! `quickstart`: runs a small fleet, serves a few requests and a batch job over it, and drains it.
//!
//! One entry node and two target nodes run in this process, with stand-ins for the platform, a model engine and a plain
//! service. The records go through the same `apply` that operators use.

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

/// What the quickstart needs.
#[derive(Clone, Debug)]
pub struct Options {
    /// An empty directory for records, certificates, settings and the trace file.
    pub directory: PathBuf,
}

/// Why the quickstart could not be run to its end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be written or read.
    #[error("a file cannot be written or read")]
    File,
    /// A stand-in or node cannot start, or did not become ready.
    #[error("the fleet cannot start")]
    Start,
    /// The records were not applied.
    #[error("the records were not applied")]
    Records,
    /// A request was not answered.
    #[error("a request was not answered")]
    Request,
    /// The batch job was not run.
    #[error("the batch job was not run")]
    Job,
    /// A node did not end in order.
    #[error("a node did not end in order")]
    Drain,
}

/// Runs the quickstart from start to end.
///
/// # Errors
///
/// [`Error`] if a part of it fails.
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
