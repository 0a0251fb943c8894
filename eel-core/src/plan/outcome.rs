//! The content of a plan and its text output.

use std::fmt;

use eel_record::RecordKey;
use eel_types::Revision;
use serde::Serialize;
use serde_json::Value;

use crate::{Exit, check};

/// The change that a plan makes to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The store does not hold the record.
    Create,
    /// The store holds a different version of the record.
    Update,
    /// The record is in the lock file but no longer declared.
    Delete,
}

/// A field that differs between the store and the directory; the value is null on a side that lacks the field.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// The field's path, such as `spec.limits.slots`.
    pub field: String,
    /// The value in the store.
    pub stored: Value,
    /// The value in the directory.
    pub declared: Value,
}

/// A planned change of one record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The kind and name of the record.
    pub key: RecordKey,
    /// Whether the record would be created, updated or deleted.
    pub action: Action,
    /// The revision that the record must have in the store for the change to apply; `None` if it must not exist.
    pub expected: Option<Revision>,
    /// The fields that differ between the store and the directory.
    pub fields: Vec<FieldChange>,
}

/// What another operator did to a record since the base revision in the lock file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConflictCause {
    /// The record was created in the store; the lock file has no base revision for it.
    Created,
    /// The record was updated in the store.
    Changed,
    /// The record was deleted from the store.
    Deleted,
}

/// A record that this plan cannot change without overwriting another operator's change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// The kind and name of the record.
    pub key: RecordKey,
    /// What the other operator did.
    pub cause: ConflictCause,
    /// The base revision in the lock file; `None` if the lock file does not list the record.
    pub base: Option<Revision>,
    /// The revision in the store; `None` if the store does not hold the record.
    pub found: Option<Revision>,
    /// The fields that differ between the store and the directory.
    pub fields: Vec<FieldChange>,
}

/// The difference between a directory of declarations and the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// The store revision that the plan was computed from.
    pub revision: Revision,
    /// Records to change, in dependency order: a record comes after those that it refers to.
    pub changes: Vec<Change>,
    /// Records that other operators have changed; they block the apply.
    pub conflicts: Vec<Conflict>,
    /// Records that are equal in the directory and the store, with their store revision.
    pub unchanged: Vec<(RecordKey, Revision)>,
    /// Records that only the store holds and that the apply leaves there.
    pub kept: Vec<RecordKey>,
}

/// The result of [`plan`](super::plan).
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The validation result of the directory.
    pub check: check::Outcome,
    /// The changes and conflicts.
    pub plan: Plan,
}

impl Outcome {
    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        if !self.check.valid {
            Exit::Invalid
        } else if self.plan.conflicts.is_empty() {
            Exit::Success
        } else {
            Exit::Conflict
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.check)?;
        self.plan.fmt(f)
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            change.fmt(f)?;
        }
        for conflict in &self.conflicts {
            conflict.fmt(f)?;
        }
        for key in &self.kept {
            writeln!(f, "  kept {key}, which is not declared here")?;
        }
        write!(
            f,
            "revision {}: {} to change, {} in conflict, {} unchanged",
            self.revision,
            self.changes.len(),
            self.conflicts.len(),
            self.unchanged.len()
        )
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Create => "+ create",
            Action::Update => "~ update",
            Action::Delete => "- delete",
        };
        writeln!(f, "{sign} {}", self.key)?;
        match self.action {
            Action::Update => write_fields(f, &self.fields),
            Action::Create | Action::Delete => Ok(()),
        }
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cause = match self.cause {
            ConflictCause::Created => "was created",
            ConflictCause::Changed => "was changed",
            ConflictCause::Deleted => "was deleted",
        };
        write!(f, "! {} {cause} by another operator", self.key)?;
        if let Some(found) = self.found {
            write!(f, " at revision {found}")?;
        }
        match self.base {
            Some(base) => writeln!(f, "; this directory is based on revision {base}")?,
            None => writeln!(f, "; this directory holds no base for it")?,
        }
        write_fields(f, &self.fields)
    }
}

fn write_fields(f: &mut fmt::Formatter<'_>, fields: &[FieldChange]) -> fmt::Result {
    for change in fields {
        let FieldChange {
            field,
            stored,
            declared,
        } = change;
        writeln!(f, "    {field}: {stored} in the store, {declared} here")?;
    }
    Ok(())
}
