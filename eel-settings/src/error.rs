//! What can be wrong with a settings file.

use std::{fmt, path::PathBuf};

use thiserror::Error as ThisError;

/// Why settings could not be loaded.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read the settings file {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
    },
    /// The file can be read, but not everything in it is valid.
    #[error("{}", join(problems))]
    Invalid {
        /// Every problem found, in the order of the file's sections.
        problems: Vec<Problem>,
    },
}

/// One problem and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file, as the caller named it.
    pub file: String,
    /// The line of the key, of its section when the key is missing, or 1 when both are missing.
    pub line: usize,
    /// The section, without brackets; empty above the first one.
    pub section: String,
    /// The key; empty for a problem of the section as a whole.
    pub key: String,
    /// What is wrong.
    pub fault: Fault,
}

/// What is wrong with a key or section.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Fault {
    /// The text is not INI.
    #[error("{0}")]
    Syntax(String),
    /// No such section exists.
    #[error("unknown section, allowed are {allowed}")]
    UnknownSection {
        /// The sections that exist, separated by commas.
        allowed: String,
    },
    /// The section has no such key.
    #[error("unknown key, allowed are {allowed}")]
    UnknownKey {
        /// The keys that exist, separated by commas.
        allowed: String,
    },
    /// The key stands twice.
    #[error("set twice, first on line {first_line}")]
    Duplicate {
        /// The line of the first one.
        first_line: usize,
    },
    /// A key without a default is missing.
    #[error("missing")]
    Missing,
    /// The value cannot be used.
    #[error("'{value}' is not {expected}")]
    Value {
        /// The value as written.
        value: String,
        /// The values allowed.
        expected: String,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        self.fault.fmt(f)
    }
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
