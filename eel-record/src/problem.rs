//! What can be wrong with records.

use std::{fmt, path::PathBuf};

use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

use crate::RecordKey;

/// Why records could not be read at all.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A file or directory cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// The file or directory.
        path: PathBuf,
    },
}

/// Whether a problem keeps its record from being accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The record is refused; nodes keep the version in force.
    Error,
    /// The record is accepted.
    Warning,
}

/// One problem and its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The file; missing for a record that comes from the store.
    pub file: Option<String>,
    /// The line in the file, counted from 1.
    pub line: Option<usize>,
    /// The record; missing if the envelope does not tell.
    pub record: Option<RecordKey>,
    /// The field's path, such as `spec.limits.slots`; empty for the record as a whole.
    pub field: String,
    /// What is wrong.
    pub fault: Fault,
}

/// What is wrong with a record or a field of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, ThisError)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The text is not JSON, or a field is missing or of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// The schema is newer than every schema this version knows.
    #[error("schema {schema} is newer than {newest}, the newest that this version knows")]
    TooNew {
        /// The schema of the record.
        schema: u32,
        /// The newest schema known.
        newest: u32,
    },
    /// The value is not allowed.
    #[error("{found} is not allowed, allowed is {allowed}")]
    NotAllowed {
        /// The value found.
        found: String,
        /// The values allowed.
        allowed: String,
    },
    /// The field is not part of the schema; it is kept, but has no effect.
    #[error("unknown field, kept without effect")]
    UnknownField,
    /// The record refers to another that does not exist.
    #[error("no record {0} exists")]
    MissingReference(RecordKey),
    /// Two declarations have the same kind and name.
    #[error("declared twice, first in {first}")]
    Duplicate {
        /// The file and line of the first one.
        first: String,
    },
    /// The name under which the store holds the record is not that of its envelope.
    #[error("stored as {stored_as}")]
    Misplaced {
        /// Where the store holds the record.
        stored_as: String,
    },
    /// The revision is older than the one in force.
    #[error("revision {found} is older than {in_force}, which is in force")]
    Stale {
        /// The revision found.
        found: u64,
        /// The revision in force.
        in_force: u64,
    },
}

impl Fault {
    /// Returns whether the fault keeps a record from being accepted.
    #[must_use]
    pub fn severity(&self) -> Severity {
        match self {
            Self::UnknownField => Severity::Warning,
            Self::Syntax(_)
            | Self::TooNew { .. }
            | Self::NotAllowed { .. }
            | Self::MissingReference(_)
            | Self::Duplicate { .. }
            | Self::Misplaced { .. }
            | Self::Stale { .. } => Severity::Error,
        }
    }
}

impl Problem {
    /// Reports a fault of a record that comes from the store, or whose place is not known yet.
    pub fn new(record: Option<RecordKey>, field: impl Into<String>, fault: Fault) -> Self {
        Self {
            file: None,
            line: None,
            record,
            field: field.into(),
            fault,
        }
    }

    /// Returns whether the problem keeps its record from being accepted.
    #[must_use]
    pub fn severity(&self) -> Severity {
        self.fault.severity()
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}:")?;
        }
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        if self.file.is_some() {
            f.write_str(" ")?;
        }
        if let Some(record) = &self.record {
            write!(f, "{record}: ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        match self.severity() {
            Severity::Error => {}
            Severity::Warning => f.write_str("warning: ")?,
        }
        self.fault.fmt(f)
    }
}
