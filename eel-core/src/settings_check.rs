//! `settings check`: validates a settings file without starting a process.

use std::{fmt, path::PathBuf};

use eel_settings::{EntrySettings, Error as SettingsError, GatewaySettings, TargetSettings};
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use thiserror::Error as ThisError;

use crate::Exit;

/// The process that the settings are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// An entry node.
    Entry,
    /// A target node.
    Target,
    /// A gateway node.
    Gateway,
}

/// What to check.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings file.
    pub file: PathBuf,
    /// The process that the settings are for.
    pub process: Process,
}

/// What was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Every problem, with file, line, section and key; empty if the settings are valid.
    pub problems: Vec<String>,
}

/// Why the check could not run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read the settings")]
    Read,
}

impl Outcome {
    /// Returns what the outcome means to a script.
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

/// Validates a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read; invalid settings are part of the outcome.
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
