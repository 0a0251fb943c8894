//! Tracks the attempts of one request: decides on retries and derives the final verdict.

use eel_types::Attempt;
use eel_verdict::{Reason, Refusal, Verdict};

use crate::{RetryBudget, TargetKey};

/// Bounds on the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Minimum time before the deadline for another attempt to start.
    pub min_time_left_ms: u64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            min_time_left_ms: 20,
        }
    }
}

/// An attempt that ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether this attempt may have run.
    pub verdict: Verdict,
    /// Why it ended.
    pub reason: Reason,
    /// The time after which the target asks to be tried again, if it says so.
    pub retry_after_ms: Option<u64>,
    /// Whether the caller has already received a part of this attempt's response, which rules out a retry.
    pub response_started: bool,
}

impl From<Refusal> for FailedAttempt {
    fn from(refusal: Refusal) -> Self {
        Self {
            verdict: refusal.verdict,
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after_ms,
            response_started: false,
        }
    }
}

/// How to proceed after an attempt that gave no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Start another attempt at a target that is not in [`Attempts::excluded`].
    Retry,
    /// Refuse the request at once; the refusal is the final reply to the caller.
    Finish(Refusal),
}

/// The attempts of one request and their combined verdict.
#[derive(Clone, Debug)]
pub struct Attempts {
    options: RetryOptions,
    repeatable: bool,
    deadline_ms: u64,
    verdict: Verdict,
    /// Why the latest attempt that may have run ended; `None` if no attempt may have run.
    cause: Option<Reason>,
    tried: Vec<TargetKey>,
}

impl Attempts {
    /// Starts without attempts, for a request that must be finished by `deadline_ms`.
    #[must_use]
    pub fn new(options: RetryOptions, repeatable: bool, deadline_ms: u64) -> Self {
        Self {
            options,
            repeatable,
            deadline_ms,
            verdict: Verdict::NotRun,
            cause: None,
            tried: Vec::new(),
        }
    }

    /// Returns the targets of all attempts so far.
    #[must_use]
    pub fn excluded(&self) -> &[TargetKey] {
        &self.tried
    }

    /// Returns the combined verdict of all attempts that have ended.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Records that an attempt starts at `target` and returns its number.
    pub fn on_start(&mut self, target: TargetKey) -> Attempt {
        self.tried.push(target);
        Attempt(self.count())
    }

    /// Decides whether another attempt may start beside those in flight, the latest of which is silent. It spends from
    /// `budget`.
    pub fn try_start_beside(&self, now_ms: u64, budget: &mut RetryBudget) -> bool {
        self.repeatable && self.has_attempt_left(now_ms) && budget.try_spend(now_ms)
    }

    /// Decides how to proceed after an attempt that gave no complete response. A retry spends from `budget`.
    pub fn on_end(
        &mut self,
        now_ms: u64,
        end: FailedAttempt,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.verdict = self.verdict.and(end.verdict);
        if end.verdict != Verdict::NotRun {
            self.cause = Some(end.reason);
        }
        if self.may_retry(now_ms, end) && budget.try_spend(now_ms) {
            return RetryDecision::Retry;
        }
        RetryDecision::Finish(Refusal {
            verdict: self.verdict,
            reason: self.final_reason(now_ms, end.reason),
            retry_after_ms: end.retry_after_ms,
        })
    }

    /// Ends the request because no further target can be chosen.
    ///
    /// The verdict covers all earlier attempts. If one of them may have run, it gives the reason, since its failure is
    /// what the caller has to investigate.
    #[must_use]
    pub fn finish(&self, refusal: Refusal) -> Refusal {
        Refusal {
            verdict: self.verdict.and(refusal.verdict),
            reason: self.cause.unwrap_or(refusal.reason),
            ..refusal
        }
    }

    fn may_retry(&self, now_ms: u64, end: FailedAttempt) -> bool {
        !end.response_started
            && is_transient(end.reason)
            && self.verdict.allows_retry(self.repeatable)
            && self.has_attempt_left(now_ms)
    }

    fn has_attempt_left(&self, now_ms: u64) -> bool {
        let time_left_ms = self.deadline_ms.saturating_sub(now_ms);
        self.count() < self.options.max_attempts
            && time_left_ms >= self.options.min_time_left_ms.max(1)
    }

    fn final_reason(&self, now_ms: u64, reason: Reason) -> Reason {
        if now_ms >= self.deadline_ms {
            Reason::DeadlineExceeded
        } else {
            reason
        }
    }

    fn count(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }
}

/// Returns `true` if an attempt at another target may succeed.
fn is_transient(reason: Reason) -> bool {
    match reason {
        Reason::Overloaded
        | Reason::NoTarget
        | Reason::Leaving
        | Reason::TargetFailed
        | Reason::Truncated => true,
        Reason::BadRequest
        | Reason::Unauthorized
        | Reason::Forbidden
        | Reason::UnknownService
        | Reason::RequestTimeout
        | Reason::TooLarge
        | Reason::CallerLimit
        | Reason::DeadlineExceeded
        | Reason::Cancelled
        | Reason::Conflict
        | Reason::StoreUnavailable
        | Reason::Quarantined => false,
    }
}
