//! The state of one item of a claimed chunk, and the limits on its attempts.

use eel_verdict::{Reason, Refusal, Verdict};

use super::Policy;

/// The state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ItemState {
    Waiting,
    InFlight,
    Ended,
}

/// Whether an item is retried after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDecision {
    Retry,
    GiveUp,
}

/// Which limit a refusal counts against.
enum RefusalKind {
    /// No attempt was made, or it was preempted for an online request.
    Preempted,
    /// The attempt failed.
    Failed,
    /// Further attempts cannot succeed.
    Permanent,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Slot {
    pub state: ItemState,
    pub sends: u32,
    pub verdict: Verdict,
    failures: u32,
    preemptions: u32,
}

impl Slot {
    pub fn new(verdict: Verdict) -> Self {
        Self {
            state: ItemState::Waiting,
            sends: 0,
            verdict,
            failures: 0,
            preemptions: 0,
        }
    }

    pub fn refused(
        &mut self,
        refusal: Refusal,
        repeatable: bool,
        policy: &Policy,
    ) -> RetryDecision {
        self.verdict = self.verdict.and(refusal.verdict);
        if !refusal.verdict.allows_retry(repeatable) {
            return RetryDecision::GiveUp;
        }
        let may_retry = match classify(refusal.reason) {
            RefusalKind::Permanent => false,
            RefusalKind::Failed => self.count_attempt(policy),
            RefusalKind::Preempted => self.count_preemption(refusal.verdict, policy),
        };
        if may_retry {
            RetryDecision::Retry
        } else {
            RetryDecision::GiveUp
        }
    }

    /// Counts a failed attempt. Returns `false` if it was the last one allowed.
    pub fn count_attempt(&mut self, policy: &Policy) -> bool {
        self.failures += 1;
        self.failures < policy.max_attempts
    }

    /// Counts a preempted attempt, unless it never ran. Each one beyond [`Policy::max_preemptions`] counts as failed.
    /// Returns `false` if no further attempt is allowed.
    fn count_preemption(&mut self, verdict: Verdict, policy: &Policy) -> bool {
        if verdict == Verdict::NotRun {
            return true;
        }
        self.preemptions += 1;
        self.preemptions <= policy.max_preemptions || self.count_attempt(policy)
    }

    pub fn backoff_ms(&self, policy: &Policy) -> u64 {
        const MAX_DOUBLINGS: u32 = 16;
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        (policy.backoff_ms << doublings).min(policy.max_backoff_ms)
    }
}

fn classify(reason: Reason) -> RefusalKind {
    match reason {
        Reason::Cancelled
        | Reason::Overloaded
        | Reason::NoTarget
        | Reason::Leaving
        | Reason::CallerLimit
        | Reason::StoreUnavailable => RefusalKind::Preempted,
        Reason::TargetFailed
        | Reason::Truncated
        | Reason::DeadlineExceeded
        | Reason::UnknownService
        | Reason::RequestTimeout
        | Reason::Conflict => RefusalKind::Failed,
        Reason::BadRequest
        | Reason::Unauthorized
        | Reason::Forbidden
        | Reason::TooLarge
        | Reason::Quarantined => RefusalKind::Permanent,
    }
}
