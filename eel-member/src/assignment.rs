//! Assigns to each target the few entry nodes that must link to it.
//!
//! Each entry knows the others from the VM list and ranks them for each target by the same hash, so that all of them
//! arrive at the same assignment as soon as they have read the same list.

use std::cmp::Reverse;

use eel_types::Name;
use xxhash_rust::xxh3::Xxh3;

/// An entry node, as the VM list shows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryNode {
    /// The entry's VM.
    pub vm: Name,
    /// The data centre that the VM is in.
    pub data_centre: Name,
}

/// The entry nodes that share the targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    entries: Vec<EntryNode>,
}

impl Assignment {
    /// Shares the targets among `entries`. If there are none, no target is assigned to any entry.
    #[must_use]
    pub fn new(mut entries: Vec<EntryNode>) -> Self {
        entries.sort_unstable();
        entries.dedup();
        Self { entries }
    }

    /// Returns the `count` entries that must link to `vm`. Entries of the target's own data centre go before others.
    #[must_use]
    pub fn entries_of(&self, vm: &Name, data_centre: &Name, count: usize) -> Vec<&EntryNode> {
        let rank = |entry: &EntryNode| {
            let is_local = entry.data_centre == *data_centre;
            Reverse((is_local, score(&entry.vm, vm)))
        };
        let mut ranked: Vec<_> = self
            .entries
            .iter()
            .map(|entry| (rank(entry), entry))
            .collect();
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }
}

/// How much an entry and a target prefer each other.
pub fn score(entry: &Name, vm: &Name) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(entry.as_bytes());
    hasher.update(&[0]); // keeps "a", "bc" apart from "ab", "c"
    hasher.update(vm.as_bytes());
    hasher.digest()
}
