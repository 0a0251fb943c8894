//! `check`: validates the records of a directory.

use std::{fmt, path::PathBuf};

use eel_record::{Declarations, Problem, load_directory};
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use thiserror::Error as ThisError;

use crate::{Exit, job::resolve_jobs};

/// What to check.
#[derive(Clone, Debug)]
pub struct Options {
    /// The directory of record files.
    pub directory: PathBuf,
}

/// What was found.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The number of records read.
    pub records: usize,
    /// Whether every record would be accepted.
    pub valid: bool,
    /// Errors and warnings.
    pub problems: Vec<Problem>,
}

/// Why the check could not run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The directory cannot be read.
    #[error("cannot read the records")]
    Read,
}

impl Outcome {
    /// Returns what the outcome means to a script.
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
        let verdict = if self.valid { "valid" } else { "not valid" };
        write!(f, "{} records, {verdict}", self.records)
    }
}

/// Validates every record of a directory, one by one and together.
///
/// # Errors
///
/// Returns an error if the directory cannot be read; invalid records are part of the outcome.
pub fn check(options: &Options) -> Result<Outcome, Report<Error>> {
    let mut declarations = load_directory(&options.directory).change_context(Error::Read)?;
    let _ = resolve_jobs(&mut declarations);
    Ok(Outcome::from(&declarations))
}
