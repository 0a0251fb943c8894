//! Whether a request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and never will; there is proof of it.
    NotRun,
    /// The request may have run, in part or as a whole, or may still be running.
    MayHaveRun,
    /// The request ran; only its answer is missing or incomplete.
    Ran,
}

impl Verdict {
    /// Returns the verdict as it stands in headers and bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns `true` if another attempt cannot cause a second execution that the caller ruled out.
    #[must_use]
    pub fn allows_retry(self, repeatable: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => repeatable,
        }
    }

    /// Combines the verdicts of two attempts of one request.
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
