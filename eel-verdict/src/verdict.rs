//! Whether a request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request that ended without a complete response was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request provably did not run and never will.
    NotRun,
    /// The request may have run, partly or completely, or may still be running.
    MayHaveRun,
    /// The request ran, but its response is missing or incomplete.
    Ran,
}

impl Verdict {
    /// Returns the verdict as written in headers and bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns `true` if the request may be retried: it did not run, or the caller allows it to run more than once.
    #[must_use]
    pub fn allows_retry(self, repeatable: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => repeatable,
        }
    }

    /// Combines the verdicts of two attempts of one request: `Ran` overrides `MayHaveRun`, which overrides `NotRun`.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
