//! `settings check`: validates a settings file without starting a process.

use std::{fmt, path::PathBuf};

use eel_settings::{EntrySettings, Error as SettingsError, GatewaySettings, TargetSettings};
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use thiserror::Error as ThisError;

use crate::Exit;

/// The kind of node that the settings file configures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// An entry node.
    Entry,
    /// A target node.
    Target,
    /// A gateway node.
    Gateway,
}

/// Options of [`settings_check`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings file to validate.
    pub file: PathBuf,
    /// The kind of node that the settings file configures.
    pub process: Process,
}

/// The result of a check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// One message per problem with its file, line, section and key; empty if the settings are valid.
    pub problems: Vec<String>,
}

/// Reasons why the check cannot run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("cannot read the settings file")]
    Read,
}

impl Outcome {
    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        if self.problems.is_empty() {
            Exit::Success
        } else {
            Exit::Invalid
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.problems.is_empty() {
            return f.write_str("the settings are valid");
        }
        f.write_str(&self.problems.join("\n"))
    }
}

/// Validates a settings file for the given kind of node.
///
/// # Errors
///
/// Returns an error if the file cannot be read; invalid settings are reported in the outcome.
pub fn settings_check(options: &Options) -> Result<Outcome, Report<Error>> {
    let checked = match options.process {
        Process::Entry => EntrySettings::load(&options.file).map(drop),
        Process::Target => TargetSettings::load(&options.file).map(drop),
        Process::Gateway => GatewaySettings::load(&options.file).map(drop),
    };
    let Err(report) = checked else {
        let problems = Vec::new();
        return Ok(Outcome { problems });
    };
    match report.current_context() {
        SettingsError::Read { .. } => Err(report).change_context(Error::Read),
        SettingsError::Invalid { problems } => Ok(Outcome {
            problems: problems.iter().map(ToString::to_string).collect(),
        }),
    }
}
