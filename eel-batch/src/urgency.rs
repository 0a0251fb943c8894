//! Urgency of a job by the slack before its deadline.

/// Urgency levels, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// More than half of the remaining time is slack.
    Normal,
    /// More than a quarter of the remaining time is slack.
    Raised,
    /// Some of the remaining time is slack, but at most a quarter.
    High,
    /// The job misses its deadline at the current rate.
    Critical,
}

impl Urgency {
    /// Returns the urgency of a job that needs `work_ms` of the `left_ms` until its deadline.
    #[must_use]
    pub fn of(work_ms: u64, left_ms: u64) -> Self {
        let slack_ms = left_ms.saturating_sub(work_ms);
        if work_ms >= left_ms {
            Self::Critical
        } else if slack_ms <= left_ms / 4 {
            Self::High
        } else if slack_ms <= left_ms / 2 {
            Self::Raised
        } else {
            Self::Normal
        }
    }
}
