//! What an apply did, and how it prints.

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

/// What became of an apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyStatus {
    /// The store holds every declaration.
    Applied,
    /// A record is invalid; nothing was written.
    Invalid,
    /// Another operator's change stands in the way; nothing was written.
    Conflict,
    /// The store refused or could not be reached; nothing was written.
    NotWritten,
    /// The store gave no answer; the last transaction may have taken effect.
    Unknown,
    /// Earlier transactions of a large change took effect, and a later one did not.
    Partial,
}

/// What an apply did.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What became of it.
    #[serde(rename = "verdict")]
    pub status: ApplyStatus,
    /// The revision of the last write that certainly took effect.
    pub revision: Option<Revision>,
    /// The records that certainly were written.
    pub applied: Vec<RecordKey>,
    /// The declared jobs, once the records are applied.
    pub jobs: Vec<JobOutcome>,
    /// What went wrong beside the store, such as the lock file.
    pub warning: Option<String>,
    /// The check of the directory.
    pub check: check::Outcome,
    /// What was to change, and what stood in the way.
    pub plan: Plan,
}

impl Outcome {
    /// Nothing was written.
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

    /// Reads the store again after a lost race, so that the operator sees what changed.
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
            Err(report) => self.warning = Some(format!("cannot tell what changed: {report}")),
        }
    }

    /// Returns the lock after this apply: what was written, and what was the same on both sides.
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

    /// Returns what the outcome means to a script.
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
                f.write_str("the store took no write; nothing was written")
            }
            (ApplyStatus::Unknown, _) => f.write_str(
                "the store gave no answer; the change may have taken effect, run plan to see",
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
