//! Errors of settings files.

use std::{fmt, path::PathBuf};

use thiserror::Error as ThisError;

/// Reasons why settings cannot be loaded.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("cannot read the settings file {}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
    },
    /// The file has invalid content.
    #[error("{}", join(problems))]
    Invalid {
        /// All problems found, in the order of their lines.
        problems: Vec<Problem>,
    },
}

/// A problem with the location where it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file name that was passed to `load` or `parse`.
    pub file: String,
    /// The line of the key; that of its section if the key is missing, or 1 if both are missing.
    pub line: usize,
    /// The name of the section, without brackets; empty above the first section.
    pub section: String,
    /// The name of the key; empty for a problem of the section as a whole.
    pub key: String,
    /// The kind of problem and its details.
    pub fault: Fault,
}

/// The kinds of problems of a key or section.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Fault {
    /// The text is not valid INI.
    #[error("{0}")]
    Syntax(String),
    /// The section is not one that this kind of node has.
    #[error("unknown section, allowed are {allowed}")]
    UnknownSection {
        /// The valid sections, separated by commas.
        allowed: String,
    },
    /// The key is not one that the section has.
    #[error("unknown key, allowed are {allowed}")]
    UnknownKey {
        /// The valid keys, separated by commas.
        allowed: String,
    },
    /// The key is set more than once.
    #[error("set twice, first on line {first_line}")]
    Duplicate {
        /// The line where the key is set first.
        first_line: usize,
    },
    /// A key without a default is missing.
    #[error("missing")]
    Missing,
    /// The value is invalid.
    #[error("'{value}' is not {expected}")]
    Value {
        /// The value as written.
        value: String,
        /// A description of the valid values.
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
