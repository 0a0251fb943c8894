//! When a failed child is restarted.

use std::collections::VecDeque;

/// Bounds on the restarts of one child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartPolicy {
    /// RestartHistory allowed within `window_ms`.
    pub max_restarts: usize,
    /// The window in which restarts count.
    pub window_ms: u64,
    /// The pause before the first restart; it doubles with each further one in the window.
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

/// What to do with a failed child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartDecision {
    /// Restart it after a pause.
    Restart {
        /// The pause.
        pause_ms: u64,
    },
    /// Fail the supervisor.
    GiveUp,
}

/// The recent restarts of one child.
#[derive(Clone, Debug)]
pub struct RestartHistory {
    policy: RestartPolicy,
    times_ms: VecDeque<u64>,
}

impl RestartHistory {
    /// Starts with no restarts counted.
    #[must_use]
    pub fn new(policy: RestartPolicy) -> Self {
        Self {
            policy,
            times_ms: VecDeque::new(),
        }
    }

    /// Decides on a failure at `now_ms`.
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
