//! `apply`: writes the declarations of a directory to the store.

mod commit;
mod jobs;
mod outcome;
mod transaction;

use eel_store::{KeyValue, StoreError};
use error_stack::{Report, ResultExt as _};
use thiserror::Error as ThisError;

use crate::{LockFile, plan};

pub use jobs::{JobApplyStatus, JobOutcome};
pub use outcome::{ApplyStatus, Outcome};

/// Options of [`apply`], the same as those of [`plan::plan`].
pub type Options = plan::Options;

/// The store that an apply writes to, and the inputs that are specific to one run.
#[derive(Debug)]
pub struct Context<'a, S> {
    /// The client of the key-value service.
    pub store: &'a S,
    /// The prefix of all keys of the fleet.
    pub prefix: &'a str,
    /// A random text that identifies the writes of this apply.
    pub token: &'a str,
    /// The current time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// Reasons why an apply fails before it writes anything.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The directory or its lock file cannot be read.
    #[error("cannot read the record files or the lock file")]
    Read,
    /// The records in the store cannot be read.
    #[error("cannot read the store; nothing was written")]
    Store,
    /// A record exceeds the store's size limit for a value.
    #[error("{0} exceeds the size limit of the store; nothing was written")]
    TooLarge(eel_record::RecordKey),
}

/// An apply whose plan is computed but not yet written.
pub struct Prepared {
    options: Options,
    outcome: plan::Outcome,
    inputs: plan::Inputs,
}

/// Writes the declarations of a directory to the store, each record by compare-and-swap on its revision.
///
/// The change is atomic if it fits into one transaction of the store; a larger one takes several, and stops at the
/// first that is refused. If a response is lost, the store is read to find out whether the write took effect. Declared
/// jobs are then submitted or cancelled. That is idempotent: the next apply repeats what did not succeed.
///
/// # Errors
///
/// Returns an error if the directory or the store cannot be read, or a record is too large; refusals and lost responses
/// are reported in the outcome.
pub async fn apply<S: KeyValue + Clone>(
    options: &Options,
    context: &Context<'_, S>,
) -> Result<Outcome, Report<Error>> {
    let prepared = prepare(options, context).await?;
    commit(prepared, context).await
}

/// Reads the directory and the store, and computes the plan.
///
/// # Errors
///
/// Returns an error if the directory or the store cannot be read.
pub async fn prepare<S: KeyValue>(
    options: &Options,
    context: &Context<'_, S>,
) -> Result<Prepared, Report<Error>> {
    let reading = plan::Context {
        store: context.store,
        prefix: context.prefix,
    };
    let read = plan::read_inputs(options, &reading).await;
    let inputs = read.map_err(|report| match report.current_context() {
        plan::Error::Read => report.change_context(Error::Read),
        plan::Error::Store => report.change_context(Error::Store),
    })?;
    Ok(Prepared {
        options: options.clone(),
        outcome: inputs.outcome(options),
        inputs,
    })
}

/// Writes the plan of [`prepare`], provided that the records in the store have not changed since.
///
/// # Errors
///
/// Returns an error if the lock file cannot be read, or a record is too large.
pub async fn commit<S: KeyValue + Clone>(
    prepared: Prepared,
    context: &Context<'_, S>,
) -> Result<Outcome, Report<Error>> {
    let Prepared {
        options,
        outcome: plan::Outcome { check, plan },
        inputs,
    } = prepared;
    if !check.valid {
        return Ok(Outcome::refused(check, plan, ApplyStatus::Invalid));
    }
    if !plan.conflicts.is_empty() {
        return Ok(Outcome::refused(check, plan, ApplyStatus::Conflict));
    }
    let txns = transaction::build(&inputs, &plan, context)?;
    let (status, written) = commit::run(context.store, &txns).await;
    let mut outcome = Outcome {
        status,
        revision: written.revision,
        applied: written.keys,
        warning: None,
        jobs: Vec::new(),
        check,
        plan,
    };
    if outcome.status == ApplyStatus::Applied {
        outcome.jobs = jobs::reconcile_jobs(&inputs.jobs, context).await;
    }
    if let ApplyStatus::Conflict | ApplyStatus::Partial = outcome.status {
        outcome.refresh_conflicts(&options, context).await;
    }
    let lock = LockFile::load(&options.directory).change_context(Error::Read)?;
    if let Err(err) = outcome.next_lock(lock).save(&options.directory) {
        outcome.warning = Some(format!("cannot save the lock file: {err}"));
    }
    Ok(outcome)
}

/// Returns `true` if a write that failed with `error` certainly has not taken effect and never will.
fn is_without_effect(error: StoreError) -> bool {
    match error {
        StoreError::NotApplied | StoreError::Rejected(_) | StoreError::Unavailable => true,
        StoreError::MayHaveApplied => false,
    }
}
