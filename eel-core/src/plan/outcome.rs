//! What a plan holds, and how it prints.

use std::fmt;

use eel_record::RecordKey;
use eel_types::Revision;
use serde::Serialize;
use serde_json::Value;

use crate::{Exit, check};

/// What would happen to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The store does not hold it yet.
    Create,
    /// The store holds another version of it.
    Update,
    /// The directory declared it once and does so no longer.
    Delete,
}

/// One field that differs; a side that lacks it is null.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// The field's path, such as `spec.limits.slots`.
    pub field: String,
    /// The value in the store.
    pub stored: Value,
    /// The value in the directory.
    pub declared: Value,
}

/// One record that would change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The record.
    pub key: RecordKey,
    /// What would happen to it.
    pub action: Action,
    /// The revision that the store must still hold it at; `None` if it must be absent.
    pub expected: Option<Revision>,
    /// The fields that differ.
    pub fields: Vec<FieldChange>,
}

/// What another operator did to a record since the directory's base.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConflictCause {
    /// The record was created, and the directory never held that version.
    Created,
    /// The record was changed.
    Changed,
    /// The record was deleted.
    Deleted,
}

/// A record that cannot be changed without losing another operator's change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// The record.
    pub key: RecordKey,
    /// What happened to it.
    pub cause: ConflictCause,
    /// The revision that the directory is based on.
    pub base: Option<Revision>,
    /// The revision in the store.
    pub found: Option<Revision>,
    /// The fields that differ between the store and the directory.
    pub fields: Vec<FieldChange>,
}

/// The difference between a directory and the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// The store's revision that was read.
    pub revision: Revision,
    /// Records to change, referred ones first.
    pub changes: Vec<Change>,
    /// Records that stand in the way.
    pub conflicts: Vec<Conflict>,
    /// Records that are the same on both sides, with the store's revision.
    pub unchanged: Vec<(RecordKey, Revision)>,
    /// Records that only the store holds and that stay there.
    pub kept: Vec<RecordKey>,
}

/// What `plan` found.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The check of the directory.
    pub check: check::Outcome,
    /// What would change.
    pub plan: Plan,
}

impl Outcome {
    /// Returns what the outcome means to a script.
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
