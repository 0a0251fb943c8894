//! `apply`: brings a directory's declarations into the store.

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

/// What to apply; the same as what to plan.
pub type Options = plan::Options;

/// What an apply runs against.
#[derive(Debug)]
pub struct Context<'a, S> {
    /// The key-value service.
    pub store: &'a S,
    /// The prefix of every key of the fleet.
    pub prefix: &'a str,
    /// A random text that tells this apply's writes from all others.
    pub token: &'a str,
    /// The present time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}

/// Why an apply could not run; it had no effect.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The directory or its lock file cannot be read.
    #[error("cannot read the records")]
    Read,
    /// The store cannot be read.
    #[error("cannot read the store; nothing was written")]
    Store,
    /// A record is larger than the store holds.
    #[error("{0} is larger than the store's limit; nothing was written")]
    TooLarge(eel_record::RecordKey),
}

/// An apply that was read and checked, but not written yet.
pub struct Prepared {
    options: Options,
    outcome: plan::Outcome,
    inputs: plan::Inputs,
}

/// Brings the declarations of a directory into the store, each record by compare-and-swap on its revision.
///
/// All or nothing where one transaction of the store holds the change; a larger one takes several, and stops at the
/// first that is refused. If an answer is lost, the store is read to find out whether the write took effect. Declared
/// jobs are then submitted or cancelled; that is idempotent, and done again by the next apply where it did not succeed.
///
/// # Errors
///
/// Returns an error if the directory or the store cannot be read; refusals and lost answers are part of the outcome.
pub async fn apply<S: KeyValue + Clone>(
    options: &Options,
    context: &Context<'_, S>,
) -> Result<Outcome, Report<Error>> {
    let prepared = prepare(options, context).await?;
    commit(prepared, context).await
}

/// Reads the directory and the store.
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

/// Writes what [`prepare`] found, provided that the store still holds what it read.
///
/// # Errors
///
/// Returns an error if the directory's lock file cannot be read, or a record is too large.
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

/// Returns `true` for an error after which nothing was written and nothing will be.
fn is_without_effect(error: StoreError) -> bool {
    match error {
        StoreError::NotApplied | StoreError::Rejected(_) | StoreError::Unavailable => true,
        StoreError::MayHaveApplied => false,
    }
}
