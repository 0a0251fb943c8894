//! Decides whether a request is retried, how long an attempt may take, and how a request is refused. Performs no I/O.

use std::time::Duration;

use eel_table::{Route, RouteKind};
use eel_verdict::{Reason, Refusal, Verdict};

use crate::target::AttemptFailure;

/// The timeout of an attempt that may be retried at another target, as a multiple of the route's latency goal; for a
/// resumable stream that has started, as a multiple of the expected gap between two events.
const TIMEOUT_GOALS: u32 = 3;
/// The bounds of both timeouts.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum number of attempts that did not run, because the target refused them or could not be reached.
const MAX_NOT_RUN_ATTEMPTS: u32 = 6;

/// The outcomes of a request's attempts so far.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// The number of failed attempts that may have run.
    pub may_have_run: u32,
    not_run: u32,
    verdict: Verdict,
    last: Reason,
}

impl Default for Attempts {
    fn default() -> Self {
        Self {
            may_have_run: 0,
            not_run: 0,
            verdict: Verdict::NotRun,
            last: Reason::NoTarget,
        }
    }
}

impl Attempts {
    /// Records a failed attempt.
    pub fn on_failure(&mut self, failure: AttemptFailure) {
        let verdict = failure.verdict();
        self.verdict = self.verdict.and(verdict);
        self.last = match failure {
            AttemptFailure::NoConnection | AttemptFailure::Misdirected => Reason::NoTarget,
            AttemptFailure::Full => Reason::Overloaded,
            AttemptFailure::InvalidResponse => Reason::TargetFailed,
            AttemptFailure::Truncated => Reason::Truncated,
            AttemptFailure::TimedOut => Reason::DeadlineExceeded,
        };
        if verdict == Verdict::NotRun {
            self.not_run += 1;
        } else {
            self.may_have_run += 1;
        }
    }

    /// Returns whether the request may be retried at another target.
    #[must_use]
    pub fn may_retry(&self, route: &Route) -> bool {
        let is_allowed = self.verdict.allows_retry(route.kind.is_repeatable());
        is_allowed && self.may_have_run < route.max_attempts && self.not_run < MAX_NOT_RUN_ATTEMPTS
    }

    /// Returns how long the next attempt may take until the head of its response; `None` if only the caller's deadline
    /// limits it.
    #[must_use]
    pub fn attempt_timeout(&self, route: &Route) -> Option<Duration> {
        let can_retry = route.kind.is_repeatable() && self.may_have_run + 1 < route.max_attempts;
        let goal = Duration::from_millis(route.goal_ms);
        can_retry.then(|| (goal * TIMEOUT_GOALS).clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT))
    }

    /// Returns how long a resumable stream may stay without data; `None` if only the caller's deadline limits it.
    #[must_use]
    pub fn event_timeout(&self, route: &Route) -> Option<Duration> {
        let RouteKind::Stream {
            resumable: true,
            event_gap_ms,
        } = route.kind
        else {
            return None;
        };
        let gap = Duration::from_millis(event_gap_ms);
        let can_retry = self.may_have_run + 1 < route.max_attempts;
        can_retry.then(|| (gap * TIMEOUT_GOALS).clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT))
    }

    /// Returns the refusal of a request whose attempts are used up.
    #[must_use]
    pub fn give_up(&self) -> Refusal {
        self.refuse(self.last, None)
    }

    /// Returns the refusal of a request that got no slot.
    #[must_use]
    pub fn reject(&self, retry_after_ms: u64) -> Refusal {
        self.refuse(Reason::Overloaded, Some(retry_after_ms))
    }

    /// Returns the refusal of a request whose deadline has passed.
    #[must_use]
    pub fn time_out(&self) -> Refusal {
        self.refuse(Reason::DeadlineExceeded, None)
    }

    /// Builds a refusal. A status that promises "not run" is used only if no attempt can have run.
    fn refuse(&self, reason: Reason, retry_after_ms: Option<u64>) -> Refusal {
        let has_run = self.verdict != Verdict::NotRun;
        let promises = matches!(reason.http_status(), 408 | 421 | 429 | 503);
        let reason = if has_run && promises {
            Reason::TargetFailed
        } else {
            reason
        };
        Refusal {
            verdict: self.verdict,
            reason,
            retry_after_ms: retry_after_ms.filter(|_| !has_run),
        }
    }
}
