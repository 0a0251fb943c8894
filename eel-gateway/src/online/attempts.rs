//! Decides whether a request is retried, when another target is tried beside a silent one, and how a request is refused.
//! Performs no I/O.

use std::time::Duration;

use eel_fleet::Rejection;
use eel_platform::promises_not_run;
use eel_table::{Route, RouteKind};
use eel_verdict::{Reason, Refusal, Verdict};
use http::StatusCode;

use crate::target::AttemptFailure;

/// How long a target may be silent before another one is tried, as a multiple of the route's latency goal; for a
/// resumable stream that has started, as a multiple of the expected gap between two events.
const TAKEOVER_GOALS: u32 = 3;
/// The bounds of both delays.
const MIN_TAKEOVER_DELAY: Duration = Duration::from_millis(200);
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(800);
/// The number of attempts that did not run, because the target refused them or could not be reached, after which a request
/// is refused, or delayed if its response has started.
const MAX_NOT_RUN_ATTEMPTS: u32 = 6;
/// The delay of each further one.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The outcomes of a request's attempts so far.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// The number of failed attempts that may have run.
    pub may_have_run: u32,
    /// The number of attempts that have started and have not failed.
    in_flight: u32,
    not_run: u32,
    verdict: Verdict,
    last: Reason,
}

impl Default for Attempts {
    fn default() -> Self {
        Self {
            may_have_run: 0,
            in_flight: 0,
            not_run: 0,
            verdict: Verdict::NotRun,
            last: Reason::NoTarget,
        }
    }
}

impl Attempts {
    /// Returns whether no attempt has started.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.may_have_run + self.in_flight + self.not_run == 0
    }

    /// Returns whether a target may be running the request or have run it.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.may_have_run + self.in_flight > 0
    }

    /// Records the start of an attempt.
    pub fn on_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records a failed attempt.
    pub fn on_failure(&mut self, failure: AttemptFailure) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let verdict = failure.verdict();
        self.verdict = self.verdict.and(verdict);
        self.last = match failure {
            AttemptFailure::NoConnection
            | AttemptFailure::NoIdentity
            | AttemptFailure::OtherProcess
            | AttemptFailure::NotWritten
            | AttemptFailure::Misdirected => Reason::NoTarget,
            AttemptFailure::Full => Reason::Overloaded,
            AttemptFailure::Unproven | AttemptFailure::InvalidResponse => Reason::TargetFailed,
            AttemptFailure::Truncated | AttemptFailure::Unsettled => Reason::Truncated,
            AttemptFailure::TimedOut => Reason::DeadlineExceeded,
        };
        if verdict == Verdict::NotRun {
            self.not_run += 1;
        } else {
            self.may_have_run += 1;
        }
    }

    /// Returns whether the request may be sent to another target, also while earlier attempts are in flight. The number of
    /// attempts that did not run is not limited if the caller has the start of a response.
    #[must_use]
    pub fn may_start(&self, route: &Route, has_response: bool) -> bool {
        let is_allowed = self.verdict().allows_retry(route.kind.is_repeatable());
        let used = self.may_have_run + self.in_flight;
        let has_tries = has_response || self.not_run < MAX_NOT_RUN_ATTEMPTS;
        is_allowed && used < route.max_attempts.max(1) && has_tries
    }

    /// Returns how long the next attempt is delayed because many did not run.
    #[must_use]
    pub fn retry_delay(&self) -> Duration {
        if self.not_run < MAX_NOT_RUN_ATTEMPTS {
            Duration::ZERO
        } else {
            NOT_RUN_RETRY_DELAY
        }
    }

    /// Returns how long an attempt may stay without the head of its response before another target is tried beside it.
    #[must_use]
    pub fn takeover_delay(route: &Route) -> Duration {
        takeover_delay(route.goal_ms)
    }

    /// Returns how long a stream may stay without a complete event before another target is tried beside it; `None` if no
    /// other target can resume it.
    #[must_use]
    pub fn event_takeover_delay(route: &Route) -> Option<Duration> {
        match route.kind {
            RouteKind::Stream {
                resumable: true,
                event_gap_ms,
            } => Some(takeover_delay(event_gap_ms)),
            _ => None,
        }
    }

    /// Returns the refusal of a request whose attempts are used up.
    #[must_use]
    pub fn give_up(&self) -> Refusal {
        self.refuse(self.last, None)
    }

    /// Returns the refusal of a request that got no slot.
    #[must_use]
    pub fn reject(&self, rejection: &Rejection) -> Refusal {
        if rejection.is_version_gone {
            self.refuse(Reason::NoTarget, None)
        } else {
            self.refuse(Reason::Overloaded, Some(rejection.retry_after_ms))
        }
    }

    /// Returns the refusal of a request whose prompt crashes targets.
    #[must_use]
    pub fn block(&self) -> Refusal {
        self.refuse(Reason::Quarantined, None)
    }

    /// Returns the refusal of a request whose deadline has passed.
    #[must_use]
    pub fn time_out(&self) -> Refusal {
        self.refuse(Reason::DeadlineExceeded, None)
    }

    /// Returns the refusal of a request whose node ends before there is a response.
    #[must_use]
    pub fn leave(&self) -> Refusal {
        self.refuse(Reason::Leaving, None)
    }

    /// Returns whether the request may have run at any target so far.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if self.in_flight > 0 {
            self.verdict.and(Verdict::MayHaveRun)
        } else {
            self.verdict
        }
    }

    /// Builds a refusal. A status that promises "not run" is used only if no attempt can have run.
    fn refuse(&self, reason: Reason, retry_after_ms: Option<u64>) -> Refusal {
        let verdict = self.verdict();
        let has_run = verdict != Verdict::NotRun;
        let status = StatusCode::from_u16(reason.http_status());
        let promises = status.is_ok_and(promises_not_run);
        let reason = if has_run && promises {
            Reason::TargetFailed
        } else {
            reason
        };
        Refusal {
            verdict,
            reason,
            retry_after_ms: retry_after_ms.filter(|_| !has_run),
        }
    }
}

fn takeover_delay(expected_ms: u64) -> Duration {
    let delay = Duration::from_millis(expected_ms) * TAKEOVER_GOALS;
    delay.clamp(MIN_TAKEOVER_DELAY, MAX_TAKEOVER_DELAY)
}
