//! The targets that exist, as the platform's store lists them.
//!
//! A target's entry disappears when it leaves, but also when its lease ran out while the store was away. The two look
//! alike, so an entry that disappears around an outage is kept for [`RETURN_GRACE_MS`] after the store's return.

use std::collections::HashMap;

use eel_types::Name;

use crate::TargetEntry;

/// How long after the store's return a missing entry may still come back, in ms. The platform says about 2 s.
pub const RETURN_GRACE_MS: u64 = 2_500;

/// The targets that are listed, and those that may only have expired.
#[derive(Debug, Default)]
pub struct Registry {
    entries: HashMap<Name, TargetEntry>,
    expired: Vec<Name>,
    store: StoreState,
}

#[derive(Clone, Copy, Debug, Default)]
enum StoreState {
    #[default]
    Reachable,
    Unreachable,
    Returned {
        at_ms: u64,
    },
}

impl Registry {
    /// Takes in an announcement. Returns `true` if it changes what was known.
    pub fn on_entry(&mut self, entry: TargetEntry) -> bool {
        self.expired.retain(|id| *id != entry.id);
        let known = self.entries.insert(entry.id.clone(), entry.clone());
        known != Some(entry)
    }

    /// Takes in that an entry is gone. Returns `true` if the target is gone, `false` if it may only have expired.
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

    /// Compares with a complete list of the store's entries. Returns the targets that are gone.
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

    /// Takes in that the store does not answer.
    pub fn on_store_lost(&mut self) {
        self.store = StoreState::Unreachable;
    }

    /// Takes in that the store answers again.
    pub fn on_store_back(&mut self, now_ms: u64) {
        if matches!(self.store, StoreState::Unreachable) {
            self.store = StoreState::Returned { at_ms: now_ms };
        }
    }

    /// Returns the targets whose entries did not come back in time.
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

    /// Returns the targets in use.
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
