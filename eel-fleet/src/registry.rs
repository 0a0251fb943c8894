//! Tracks the targets that exist, from their entries in the platform's store.
//!
//! A target's entry disappears when the target leaves, but also when its lease expires while the store is unreachable.
//! The two look alike, so an entry that disappears around an outage is kept for [`RETURN_GRACE_MS`] after the store's
//! return. A failed call is no outage: the store was away if it has renewed no node's lease for a while.

use std::collections::HashMap;

use eel_types::Name;

use crate::TargetEntry;

/// How long after the store's return a missing entry may still reappear. The platform states about 2 s.
pub const RETURN_GRACE_MS: u64 = 2_500;
/// How long the store has to renew no lease of any node before those of targets may have expired: they last for three
/// heartbeats, one of which may have passed.
pub const MIN_OUTAGE_MS: u64 = 2_000;

/// What the removal of an entry says about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The target is gone.
    Gone,
    /// Its lease may only have expired: it stays in use, at most until the grace period ends.
    MayReappear,
    /// Nothing new: the target is unknown, or its entry was missing before.
    Unchanged,
}

/// The entries of the listed targets, and of those whose lease may only have expired.
#[derive(Debug, Default)]
pub struct Registry {
    entries: HashMap<Name, TargetEntry>,
    /// Targets whose entry disappeared around an outage and may still reappear.
    expired: Vec<Name>,
    /// A time after which the store is not known to have renewed a lease; `None` before the first renewal.
    renewed_ms: Option<u64>,
    /// When the store returned from its last outage; `None` if entries cannot reappear any more.
    returned_ms: Option<u64>,
}

impl Registry {
    /// Adds or updates an entry. Returns `true` if it differs from the known one.
    pub fn on_entry(&mut self, entry: TargetEntry) -> bool {
        self.expired.retain(|id| *id != entry.id);
        let known = self.entries.insert(entry.id.clone(), entry.clone());
        known != Some(entry)
    }

    /// Handles the removal of an entry.
    pub fn on_removed(&mut self, now_ms: u64, id: &str) -> Removal {
        let Some((name, entry)) = self.entries.get_key_value(id) else {
            return Removal::Unchanged;
        };
        if !self.may_have_expired(now_ms) || entry.is_draining {
            self.entries.remove(id);
            return Removal::Gone;
        }
        if self.expired.contains(name) {
            return Removal::Unchanged;
        }
        self.expired.push(name.clone());
        Removal::MayReappear
    }

    /// Handles the removal of the entries that `listed`, a complete list of the store's entries, lacks. Returns what is new.
    pub fn retain_listed(&mut self, now_ms: u64, listed: &[Name]) -> Vec<(Name, Removal)> {
        let missing = self.entries.keys().filter(|id| !listed.contains(id));
        let missing: Vec<Name> = missing.cloned().collect();
        let removals = missing.into_iter().map(|id| {
            let removal = self.on_removed(now_ms, &id);
            (id, removal)
        });
        removals
            .filter(|(_, removal)| *removal != Removal::Unchanged)
            .collect()
    }

    /// Records that the store renewed a lease of this node or another one between `from_ms` and `until_ms`. If it may have
    /// renewed none for `MIN_OUTAGE_MS`, it has returned from an outage.
    pub fn on_lease_renewed(&mut self, from_ms: u64, until_ms: u64) {
        let last_ms = *self.renewed_ms.get_or_insert(from_ms);
        if until_ms >= last_ms + MIN_OUTAGE_MS {
            self.returned_ms = Some(until_ms);
        }
        self.renewed_ms = Some(last_ms.max(from_ms));
    }

    /// Removes the targets whose entries did not reappear within the grace period, and returns their ids.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Name> {
        if self.may_have_expired(now_ms) {
            return Vec::new();
        }
        self.returned_ms = None;
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
        let is_away = self
            .renewed_ms
            .is_some_and(|at_ms| now_ms >= at_ms + MIN_OUTAGE_MS);
        let has_just_returned = self
            .returned_ms
            .is_some_and(|at_ms| now_ms < at_ms + RETURN_GRACE_MS);
        is_away || has_just_returned
    }
}
