//! Tracks the targets that exist, from their entries in the platform's store.
//!
//! A target's entry disappears when the target leaves, but also when its lease expires while the store is unreachable.
//! The two look alike, so an entry that disappears around an outage is kept for [`RETURN_GRACE_MS`] after the store's
//! return.

use std::collections::HashMap;

use eel_types::Name;

use crate::TargetEntry;

/// How long after the store's return a missing entry may still reappear. The platform states about 2 s.
pub const RETURN_GRACE_MS: u64 = 2_500;

/// The entries of the listed targets, and of those whose lease may only have expired.
#[derive(Debug, Default)]
pub struct Registry {
    entries: HashMap<Name, TargetEntry>,
    /// Targets whose entry disappeared around an outage and may still reappear.
    expired: Vec<Name>,
    store: StoreState,
}

#[derive(Clone, Copy, Debug, Default)]
enum StoreState {
    #[default]
    Reachable,
    Unreachable,
    /// Reachable again since `at_ms`, with entries that may still reappear.
    Returned {
        at_ms: u64,
    },
}

impl Registry {
    /// Adds or updates an entry. Returns `true` if it differs from the known one.
    pub fn on_entry(&mut self, entry: TargetEntry) -> bool {
        self.expired.retain(|id| *id != entry.id);
        let known = self.entries.insert(entry.id.clone(), entry.clone());
        known != Some(entry)
    }

    /// Handles the removal of an entry. Returns `true` if the target is gone, `false` if its lease may only have
    /// expired or if it was unknown.
    pub fn on_removed(&mut self, now_ms: u64, id: &str) -> bool {
        let Some((name, entry)) = self.entries.get_key_value(id) else {
            return false;
        };
        if self.may_have_expired(now_ms) && !entry.is_draining {
            if !self.expired.contains(name) {
                self.expired.push(name.clone());
            }
            return false;
        }
        self.entries.remove(id);
        true
    }

    /// Removes the entries that `listed`, a complete list of the store's entries, lacks. Returns the targets that are
    /// gone, without those whose lease may only have expired.
    pub fn retain_listed(&mut self, now_ms: u64, listed: &[Name]) -> Vec<Name> {
        let missing: Vec<Name> = self
            .entries
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        missing
            .into_iter()
            .filter(|id| self.on_removed(now_ms, id))
            .collect()
    }

    /// Records that the store is unreachable.
    pub fn on_store_lost(&mut self) {
        self.store = StoreState::Unreachable;
    }

    /// Records that the store is reachable again, which starts the grace period of expired entries.
    pub fn on_store_back(&mut self, now_ms: u64) {
        if matches!(self.store, StoreState::Unreachable) {
            self.store = StoreState::Returned { at_ms: now_ms };
        }
    }

    /// Removes the targets whose entries did not reappear within the grace period, and returns their ids.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Name> {
        if self.may_have_expired(now_ms) {
            return Vec::new();
        }
        self.store = StoreState::Reachable;
        let gone = std::mem::take(&mut self.expired);
        for id in &gone {
            self.entries.remove(id);
        }
        gone
    }

    /// Returns the entries of all targets in use, including those that may only have expired.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values()
    }

    fn may_have_expired(&self, now_ms: u64) -> bool {
        match self.store {
            StoreState::Reachable => false,
            StoreState::Unreachable => true,
            StoreState::Returned { at_ms } => now_ms < at_ms + RETURN_GRACE_MS,
        }
    }
}
