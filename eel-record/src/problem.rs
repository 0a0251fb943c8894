//! Problems of records and their severity.

use std::{fmt, path::PathBuf};

use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

use crate::RecordKey;

/// Reasons why record files cannot be read.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A file or directory cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// The path of the file or directory.
        path: PathBuf,
    },
}

/// Whether a problem leads to the rejection of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The record is rejected; nodes keep the version in force.
    Error,
    /// The record is accepted despite the problem.
    Warning,
}

/// A problem with the location where it was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The file; `None` for a record from the store.
    pub file: Option<String>,
    /// The line in the file, counted from 1; `None` for a record from the store.
    pub line: Option<usize>,
    /// The record; `None` if its envelope is invalid or the problem concerns no single record.
    pub record: Option<RecordKey>,
    /// The path of the field, such as `spec.limits.slots`; empty for the record as a whole.
    pub field: String,
    /// The kind of problem and its details.
    pub fault: Fault,
}

/// The kinds of problems of a record or one of its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, ThisError)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The text is not valid JSON, or a field is missing or has the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// The schema version is newer than the newest that this software version supports.
    #[error("schema {schema} is newer than {newest}, the newest that this version knows")]
    TooNew {
        /// The schema version of the record.
        schema: u32,
        /// The newest supported schema version.
        newest: u32,
    },
    /// The value is not one of the allowed values.
    #[error("{found} is not allowed, allowed is {allowed}")]
    NotAllowed {
        /// The value as text.
        found: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// The field is not part of the schema; it is preserved but has no effect.
    #[error("unknown field, kept without effect")]
    UnknownField,
    /// The record refers to a record that does not exist.
    #[error("no record {0} exists")]
    MissingReference(RecordKey),
    /// Two declarations have the same kind and name.
    #[error("declared twice, first in {first}")]
    Duplicate {
        /// The file and line of the first declaration.
        first: String,
    },
    /// The store key of the record does not match the kind and name in its envelope.
    #[error("stored as {stored_as}")]
    Misplaced {
        /// The kind and name in the store key.
        stored_as: String,
    },
    /// The revision that was read is older than the one in force.
    #[error("revision {found} is older than {in_force}, which is in force")]
    Stale {
        /// The revision that was read.
        found: u64,
        /// The revision in force.
        in_force: u64,
    },
}

impl Fault {
    /// Returns [`Severity::Error`] if a record with this fault is rejected.
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
    /// Creates a problem without file and line, for a record from the store or a location that is not known yet.
    pub fn new(record: Option<RecordKey>, field: impl Into<String>, fault: Fault) -> Self {
        Self {
            file: None,
            line: None,
            record,
            field: field.into(),
            fault,
        }
    }

    /// Returns [`Severity::Error`] if the record is rejected because of this problem.
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
