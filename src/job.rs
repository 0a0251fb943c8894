//! The subcommands for batch jobs.

use std::fs;

use eel_core::{
    Exit,
    job::{self, JobClient, JobStatus, ResultsOutcome, SubmitOptions, follow, results, submit},
};
use eel_types::Name;
use error_stack::{Report, ResultExt as _};
use rand::RngExt as _;
use tokio::{fs::File, io};

use crate::{
    error::Error,
    options::{Format, JobCommand, JobOptions, JobResultsOptions, JobSubmitOptions},
    print::print,
};

const MS_PER_S: u64 = 1_000;

pub async fn run(
    options: &JobOptions,
    connect_timeout_ms: u64,
    format: Format,
) -> Result<Exit, Report<Error>> {
    let client = connect(options, connect_timeout_ms)?;
    let status = match &options.command {
        JobCommand::Submit(options) => run_submit(options, &client).await?,
        JobCommand::Get(options) if options.wait => follow(&options.id, &client)
            .await
            .change_context(Error::Command)?,
        JobCommand::Get(options) => client
            .get(&options.id)
            .await
            .change_context(Error::Command)?,
        JobCommand::Cancel(options) => client.cancel(&options.id).await.map_err(classify_error)?,
        JobCommand::Results(options) => {
            let outcome = run_results(options, &client).await?;
            return Ok(outcome.exit());
        }
    };
    print(&status, format)?;
    Ok(status.exit())
}

fn connect(options: &JobOptions, connect_timeout_ms: u64) -> Result<JobClient, Report<Error>> {
    if options.entry.is_empty() {
        let message = "at least one --entry is required".to_owned();
        return Err(Report::new(Error::Arguments(message)));
    }
    let key = fs::read_to_string(&options.key_file)
        .change_context(Error::File)
        .attach_with(|| options.key_file.display().to_string())?;
    let key = Name::from(key.trim());
    JobClient::new(options.entry.clone(), key, connect_timeout_ms).change_context(Error::Command)
}

/// Converts an error of a submission or cancellation, by whether the call may have taken effect.
fn classify_error(report: Report<job::Error>) -> Report<Error> {
    if report.current_context().may_have_taken_effect() {
        report.change_context(Error::OutcomeUnknown)
    } else {
        report.change_context(Error::Command)
    }
}

async fn run_submit(
    options: &JobSubmitOptions,
    client: &JobClient,
) -> Result<JobStatus, Report<Error>> {
    let idempotency_key = options.idempotency_key.clone().unwrap_or_else(generate_key);
    let job = SubmitOptions {
        service: options.service.clone(),
        deadline_ms: options.deadline_s.saturating_mul(MS_PER_S),
        repeatable: options.repeatable,
        idempotency_key,
    };
    let status = submit(&job, &options.items, client)
        .await
        .map_err(classify_error)?;
    if !options.wait {
        return Ok(status);
    }
    follow(&status.id, client)
        .await
        .change_context(Error::Command)
}

/// Generates an idempotency key and prints it, so that the operator can repeat the submission safely.
fn generate_key() -> Name {
    let key: u128 = rand::rng().random();
    let key = format!("{key:032x}");
    eprintln!("idempotency key {key}");
    Name::from(key)
}

async fn run_results(
    options: &JobResultsOptions,
    client: &JobClient,
) -> Result<ResultsOutcome, Report<Error>> {
    let Some(path) = &options.output else {
        return results(&options.id, options.wait, client, &mut io::stdout())
            .await
            .change_context(Error::Command);
    };
    let mut file = File::create(path).await.change_context(Error::File)?;
    results(&options.id, options.wait, client, &mut file)
        .await
        .change_context(Error::Command)
}
