//! Decides when failed runs end an item.
//!
//! A target need not sign a response that says that a run failed, so anyone on the way may have written one without a
//! signature. One such response ends nothing, but an item whose targets never sign must not run without a limit either.

use crate::ErrorCause;

/// The number of doubtful rejections of an item after which it is not sent again.
const MAX_DOUBTFUL_REJECTIONS: u32 = 3;
/// After this many times the attempts of its route an item is not sent again, however doubtful its failures are.
const DOUBTFUL_FACTOR: u32 = 3;

/// What a response says of a run that has no output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The run failed.
    Failed,
    /// The item can never succeed.
    Rejected,
}

/// The responses to the runs of an item that are incomplete, or not proven to be the target's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Doubts {
    /// The number of responses that say that the run failed.
    pub failed: u32,
    /// The number of responses that say that the item can never succeed.
    pub rejected: u32,
}

impl Doubts {
    /// Adds a response that says `claim`.
    #[must_use]
    pub fn with(self, claim: Claim) -> Self {
        match claim {
            Claim::Failed => Self {
                failed: self.failed + 1,
                ..self
            },
            Claim::Rejected => Self {
                rejected: self.rejected + 1,
                ..self
            },
        }
    }
}

/// Returns why an item with so many proven `failures` and with `doubts` is given up; `None` if it may run again.
///
/// `max_attempts` is the number of runs that its route allows to fail.
#[must_use]
pub fn cause_to_end(failures: u32, doubts: Doubts, max_attempts: u32) -> Option<ErrorCause> {
    let max_attempts = max_attempts.max(1);
    let max_doubtful = max_attempts.saturating_mul(DOUBTFUL_FACTOR);
    if doubts.rejected >= MAX_DOUBTFUL_REJECTIONS {
        Some(ErrorCause::Rejected)
    } else if failures >= max_attempts || failures.saturating_add(doubts.failed) >= max_doubtful {
        Some(ErrorCause::Failures)
    } else {
        None
    }
}
