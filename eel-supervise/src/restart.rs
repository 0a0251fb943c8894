//! Decides whether and when to restart a failed child.

use std::collections::VecDeque;

/// Limits on the restarts of one child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartPolicy {
    /// The maximum number of restarts within `window_ms`.
    pub max_restarts: usize,
    /// The length of the sliding window in which restarts are counted.
    pub window_ms: u64,
    /// The pause before the first restart; it doubles with each further restart in the window.
    pub pause_ms: u64,
}

impl Default for RestartPolicy {
    fn default() -> Self {
        Self {
            max_restarts: 5,
            window_ms: 60_000,
            pause_ms: 50,
        }
    }
}

/// The decision about a failed child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartDecision {
    /// Restart the child after a pause.
    Restart {
        /// The pause before the restart.
        pause_ms: u64,
    },
    /// Do not restart the child; the supervisor fails.
    GiveUp,
}

/// The times of the recent restarts of one child.
#[derive(Clone, Debug)]
pub struct RestartHistory {
    policy: RestartPolicy,
    times_ms: VecDeque<u64>,
}

impl RestartHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new(policy: RestartPolicy) -> Self {
        Self {
            policy,
            times_ms: VecDeque::new(),
        }
    }

    /// Records a failure at `now_ms` and decides whether to restart the child.
    pub fn on_failure(&mut self, now_ms: u64) -> RestartDecision {
        let window_start_ms = now_ms.saturating_sub(self.policy.window_ms);
        while self.times_ms.front().is_some_and(|t| *t < window_start_ms) {
            self.times_ms.pop_front();
        }
        let recent = self.times_ms.len();
        if recent >= self.policy.max_restarts {
            return RestartDecision::GiveUp;
        }
        self.times_ms.push_back(now_ms);
        RestartDecision::Restart {
            pause_ms: self.policy.pause_ms << recent.min(16),
        }
    }
}
