//! The attempts of one request: whether to try again and what to report in the end.

use eel_types::Attempt;
use eel_verdict::{Reason, Refusal, Verdict};

use crate::{RetryBudget, TargetKey};

/// Bounds on the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// The most attempts of one request, the first included.
    pub max_attempts: u32,
    /// The time that must be left before the deadline for another attempt.
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

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether this attempt may have run.
    pub verdict: Verdict,
    /// Why it ended.
    pub reason: Reason,
    /// When the target asks to be tried again.
    pub retry_after_ms: Option<u64>,
    /// Whether the caller already holds a part of this attempt's answer.
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

/// What follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Choose another target, leaving out [`Attempts::excluded`].
    Retry,
    /// Give the caller this final answer at once.
    Finish(Refusal),
}

/// Follows one request through its attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    options: RetryOptions,
    repeatable: bool,
    deadline_ms: u64,
    verdict: Verdict,
    /// Why the latest attempt that may have run ended.
    cause: Option<Reason>,
    tried: Vec<TargetKey>,
}

impl Attempts {
    /// Begins a request that must be answered by `deadline_ms`.
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

    /// Returns the targets that were tried.
    #[must_use]
    pub fn excluded(&self) -> &[TargetKey] {
        &self.tried
    }

    /// Returns the verdict over all attempts that have ended.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Records that an attempt starts at `target` and returns its number.
    pub fn on_start(&mut self, target: TargetKey) -> Attempt {
        self.tried.push(target);
        Attempt(self.count())
    }

    /// Decides what follows an attempt that ended without a whole answer.
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

    /// Ends the request because no further target can be chosen. The verdict covers the attempts before, and an attempt
    /// that may have run gives the reason, since its failure is what the caller has to look into.
    #[must_use]
    pub fn finish(&self, refusal: Refusal) -> Refusal {
        Refusal {
            verdict: self.verdict.and(refusal.verdict),
            reason: self.cause.unwrap_or(refusal.reason),
            ..refusal
        }
    }

    fn may_retry(&self, now_ms: u64, end: FailedAttempt) -> bool {
        let time_left_ms = self.deadline_ms.saturating_sub(now_ms);
        !end.response_started
            && is_transient(end.reason)
            && self.verdict.allows_retry(self.repeatable)
            && self.count() < self.options.max_attempts
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

/// Returns `true` if another target can do better.
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
        | Reason::StoreUnavailable => false,
    }
}
