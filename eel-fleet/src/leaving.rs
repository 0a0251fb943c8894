//! Remembers the targets that have said that they are leaving.
//!
//! A target's entry may be older than its word, may be removed and written again, and does not tell why. What a target
//! said of itself therefore holds until it starts again.

use std::collections::HashMap;

use eel_types::Name;

use crate::TargetEntry;

/// How long the word of a target that is not listed any more is kept: much longer than an outage of the store, after
/// which an entry can return.
const UNLISTED_TTL_MS: u64 = 600_000;

#[derive(Clone, Copy, Debug)]
struct Leaving {
    started_unix_ms: Option<u64>,
    since_ms: u64,
}

/// The incarnations of targets that are leaving, by the target's id.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    targets: HashMap<Name, Leaving>,
}

impl LeavingTargets {
    /// Records that the incarnation of `entry` is leaving, unless a later one is known to leave. Drops old ones for which
    /// `is_listed` returns `false`.
    pub fn insert(&mut self, now_ms: u64, entry: &TargetEntry, is_listed: impl Fn(&str) -> bool) {
        self.targets
            .retain(|id, it| now_ms < it.since_ms + UNLISTED_TTL_MS || is_listed(id));
        let leaving = Leaving {
            started_unix_ms: entry.started_unix_ms,
            since_ms: now_ms,
        };
        let known = self.targets.entry(entry.id.clone()).or_insert(leaving);
        if known.started_unix_ms < leaving.started_unix_ms {
            *known = leaving;
        }
    }

    /// Returns whether the incarnation of `entry` has said that it is leaving.
    #[must_use]
    pub fn contains(&self, entry: &TargetEntry) -> bool {
        self.targets
            .get(&entry.id)
            .is_some_and(|it| it.started_unix_ms == entry.started_unix_ms)
    }
}
