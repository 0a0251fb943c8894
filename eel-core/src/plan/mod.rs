//! `plan`: computes the changes that `apply` would make.

mod diff;
mod outcome;

use std::path::PathBuf;

use eel_record::{Declarations, Fault, RecordKey, load_directory};
use eel_store::KeyValue;
use error_stack::{Report, ResultExt as _};
use thiserror::Error as ThisError;

use crate::{
    LockFile, StoredRecords, check,
    job::{DeclaredJob, resolve_jobs},
    read_records,
};

pub use diff::{DiffBase, diff, field_changes};
pub use outcome::{Action, Change, Conflict, ConflictCause, FieldChange, Outcome, Plan};

/// Options of [`plan`].
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The directory of record files.
    pub directory: PathBuf,
    /// Records to overwrite in the store even if they were changed since the lock file's revision.
    pub overwrite: Vec<RecordKey>,
    /// Whether to delete records that are in the lock file but no longer declared.
    pub prune: bool,
}

/// The store that a plan compares with.
#[derive(Debug)]
pub struct Context<'a, S> {
    /// The client of the key-value service.
    pub store: &'a S,
    /// The prefix of all keys of the fleet.
    pub prefix: &'a str,
}

/// Reasons why a plan cannot be computed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The directory or its lock file cannot be read.
    #[error("cannot read the record files or the lock file")]
    Read,
    /// The records in the store cannot be read.
    #[error("cannot read the store")]
    Store,
}

/// The declarations and the store's content, from which a plan is computed.
pub(crate) struct Inputs {
    pub declared: Declarations,
    pub jobs: Vec<DeclaredJob>,
    pub stored: StoredRecords,
    pub lock: LockFile,
}

/// Compares a directory of declarations with the store, without changing either.
///
/// # Errors
///
/// Returns an error if the directory or the store cannot be read.
pub async fn plan<S: KeyValue>(
    options: &Options,
    context: &Context<'_, S>,
) -> Result<Outcome, Report<Error>> {
    let inputs = read_inputs(options, context).await?;
    Ok(inputs.outcome(options))
}

pub(crate) async fn read_inputs<S: KeyValue>(
    options: &Options,
    context: &Context<'_, S>,
) -> Result<Inputs, Report<Error>> {
    let mut declared = load_directory(&options.directory).change_context(Error::Read)?;
    let jobs = resolve_jobs(&mut declared);
    let lock = LockFile::load(&options.directory).change_context(Error::Read)?;
    let stored = read_records(context.store, context.prefix)
        .await
        .change_context(Error::Store)?;
    declared.problems.retain(|problem| match &problem.fault {
        Fault::MissingReference(key) => !remains_stored(key, &stored, &lock, options.prune),
        _ => true,
    });
    Ok(Inputs {
        declared,
        jobs,
        stored,
        lock,
    })
}

/// Returns `true` if the store holds the record and this apply does not delete it. Such a record is a valid reference
/// target although it is declared in another directory.
fn remains_stored(key: &RecordKey, stored: &StoredRecords, lock: &LockFile, prune: bool) -> bool {
    let is_deleted = prune && lock.records.contains_key(key);
    stored.records.contains_key(key) && !is_deleted
}

impl Inputs {
    pub(crate) fn outcome(&self, options: &Options) -> Outcome {
        let base = DiffBase {
            lock: &self.lock,
            overwrite: &options.overwrite,
            prune: options.prune,
        };
        Outcome {
            check: check::Outcome::from(&self.declared),
            plan: diff(&self.declared, &self.stored, base),
        }
    }
}
