//! `check`: validates a directory of record files.

use std::{fmt, path::PathBuf};

use eel_record::{Declarations, Problem, load_directory};
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use thiserror::Error as ThisError;

use crate::{Exit, job::resolve_jobs};

/// Options of [`check`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The directory of record files.
    pub directory: PathBuf,
}

/// The validation result of a directory.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The number of records read.
    pub records: usize,
    /// Whether `apply` would accept every record.
    pub valid: bool,
    /// The errors and warnings found.
    pub problems: Vec<Problem>,
}

/// Reasons why the check cannot run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The directory or a file in it cannot be read.
    #[error("cannot read the record files")]
    Read,
}

impl Outcome {
    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        if self.valid {
            Exit::Success
        } else {
            Exit::Invalid
        }
    }
}

impl From<&Declarations> for Outcome {
    fn from(declarations: &Declarations) -> Self {
        Self {
            records: declarations.records.len(),
            valid: !declarations.has_errors(),
            problems: declarations.problems.clone(),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.problems {
            writeln!(f, "{problem}")?;
        }
        let validity = if self.valid { "valid" } else { "not valid" };
        write!(f, "{} records, {validity}", self.records)
    }
}

/// Validates each record of a directory and the references between them.
///
/// # Errors
///
/// Returns an error if the directory cannot be read; invalid records are reported in the outcome.
pub fn check(options: &Options) -> Result<Outcome, Report<Error>> {
    let mut declarations = load_directory(&options.directory).change_context(Error::Read)?;
    let _ = resolve_jobs(&mut declarations);
    Ok(Outcome::from(&declarations))
}
