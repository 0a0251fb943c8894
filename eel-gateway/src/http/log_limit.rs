//! Bounds how often a line is logged.

use std::sync::atomic::{AtomicU64, Ordering};

/// The least time between two lines of one kind, in ms.
const INTERVAL_MS: u64 = 1_000;

/// Lets one line of a kind pass each second and counts the others.
#[derive(Default)]
pub struct LogLimit {
    next_ms: AtomicU64,
    suppressed: AtomicU64,
}

impl LogLimit {
    /// Returns the number of lines that were not logged since the last one; `None` if this one is not to be logged.
    pub fn take(&self, now_ms: u64) -> Option<u64> {
        let next_ms = self.next_ms.load(Ordering::Relaxed);
        let may_log = now_ms >= next_ms
            && self
                .next_ms
                .compare_exchange(
                    next_ms,
                    now_ms + INTERVAL_MS,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                )
                .is_ok();
        if may_log {
            return Some(self.suppressed.swap(0, Ordering::Relaxed));
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        None
    }
}
