//! The result of an apply and its text output.

use std::fmt;

use eel_record::RecordKey;
use eel_store::KeyValue;
use eel_types::Revision;
use serde::Serialize;

use super::{Context, JobOutcome, Options};
use crate::{
    Exit, LockFile, check,
    plan::{self, Action, Plan},
};

/// How an apply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyStatus {
    /// The store holds all declarations.
    Applied,
    /// A record is invalid; nothing was written.
    Invalid,
    /// The change conflicts with another operator's change; nothing was written.
    Conflict,
    /// The store refused the write or was unreachable; nothing was written.
    NotWritten,
    /// The store did not respond; the last transaction may have taken effect.
    Unknown,
    /// Earlier transactions of a large change took effect, a later one did not.
    Partial,
}

/// The result of an apply.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// How the apply ended.
    #[serde(rename = "verdict")]
    pub status: ApplyStatus,
    /// The revision of the last write that certainly took effect; `None` if there was none.
    pub revision: Option<Revision>,
    /// The records that were certainly written.
    pub applied: Vec<RecordKey>,
    /// The results of the declared jobs; empty unless all records were applied.
    pub jobs: Vec<JobOutcome>,
    /// A failure outside the store, such as that of saving the lock file.
    pub warning: Option<String>,
    /// The validation result of the directory.
    pub check: check::Outcome,
    /// The planned changes and the conflicts.
    pub plan: Plan,
}

impl Outcome {
    /// Returns the outcome of an apply that wrote nothing.
    pub(super) fn refused(check: check::Outcome, plan: Plan, status: ApplyStatus) -> Self {
        Self {
            status,
            revision: None,
            applied: Vec::new(),
            warning: None,
            jobs: Vec::new(),
            check,
            plan,
        }
    }

    /// Plans again after a conflicting write, to report what the other operator changed.
    pub(super) async fn refresh_conflicts<S: KeyValue>(
        &mut self,
        options: &Options,
        context: &Context<'_, S>,
    ) {
        let reading = plan::Context {
            store: context.store,
            prefix: context.prefix,
        };
        let options = Options {
            overwrite: Vec::new(),
            ..options.clone()
        };
        match plan::plan(&options, &reading).await {
            Ok(outcome) => {
                let conflicts = outcome.plan.conflicts.into_iter();
                let others = conflicts.filter(|conflict| !self.applied.contains(&conflict.key));
                self.plan.conflicts = others.collect();
            }
            Err(report) => self.warning = Some(format!("cannot list the conflicts: {report}")),
        }
    }

    /// Returns the lock file after this apply: updated for the records that were written or are unchanged.
    pub(super) fn next_lock(&self, mut lock: LockFile) -> LockFile {
        lock.records.extend(self.plan.unchanged.iter().cloned());
        let Some(revision) = self.revision else {
            return lock;
        };
        let written = self.plan.changes.iter();
        for change in written.filter(|change| self.applied.contains(&change.key)) {
            match change.action {
                Action::Create | Action::Update => {
                    lock.records.insert(change.key.clone(), revision)
                }
                Action::Delete => lock.records.remove(&change.key),
            };
        }
        lock
    }

    fn jobs_exit(&self) -> Exit {
        let exits = self.jobs.iter().map(JobOutcome::exit);
        let failed = exits.filter(|exit| *exit != Exit::Success);
        failed
            .max_by_key(|exit| exit.code())
            .unwrap_or(Exit::Success)
    }

    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self.status {
            ApplyStatus::Applied => self.jobs_exit(),
            ApplyStatus::Invalid => Exit::Invalid,
            ApplyStatus::Conflict => Exit::Conflict,
            ApplyStatus::NotWritten => Exit::Failure,
            ApplyStatus::Unknown => Exit::Unknown,
            ApplyStatus::Partial => Exit::Partial,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.check)?;
        writeln!(f, "{}", self.plan)?;
        for job in &self.jobs {
            writeln!(f, "{job}")?;
        }
        if let Some(warning) = &self.warning {
            writeln!(f, "warning: {warning}")?;
        }
        let count = self.applied.len();
        match (self.status, self.revision) {
            (ApplyStatus::Applied, Some(revision)) => {
                write!(f, "applied {count} records at revision {revision}")
            }
            (ApplyStatus::Applied, None) => f.write_str("nothing to change"),
            (ApplyStatus::Invalid, _) => {
                f.write_str("refused: records are not valid; nothing was written")
            }
            (ApplyStatus::Conflict, _) => {
                f.write_str("refused: another operator changed records; nothing was written")
            }
            (ApplyStatus::NotWritten, _) => {
                f.write_str("the store refused the write or was unreachable; nothing was written")
            }
            (ApplyStatus::Unknown, _) => f.write_str(
                "the store did not respond; the change may have taken effect, run plan to check",
            ),
            (ApplyStatus::Partial, _) => {
                write!(
                    f,
                    "stopped: {count} records were written, the others were not"
                )
            }
        }
    }
}
