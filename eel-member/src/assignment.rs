//! Assigns to each target the few entry nodes that must link to it.
//!
//! Each entry node knows the others from the VM list and ranks them for each target by the same hash, so that all entry
//! nodes compute the same assignment once they have read the same list.

use std::cmp::Reverse;

use eel_types::Name;
use xxhash_rust::xxh3::Xxh3;

/// An entry node on the VM list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryNode {
    /// The entry node's VM.
    pub vm: Name,
    /// The data centre that the VM is in.
    pub data_centre: Name,
}

/// The entry nodes among which the targets are distributed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    entries: Vec<EntryNode>,
}

impl Assignment {
    /// Distributes the targets among `entries`. Without entries, no target is assigned to any entry node.
    #[must_use]
    pub fn new(mut entries: Vec<EntryNode>) -> Self {
        entries.sort_unstable();
        entries.dedup();
        Self { entries }
    }

    /// Returns the `count` entry nodes that must link to the target on `vm`, or all of them if there are fewer. Those
    /// in the target's data centre come before all others.
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

/// Returns the rendezvous hash of an entry node and a target; a higher value is a better match.
pub fn score(entry: &Name, vm: &Name) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(entry.as_bytes());
    hasher.update(&[0]); // separates the names, so that "a", "bc" and "ab", "c" differ
    hasher.update(vm.as_bytes());
    hasher.digest()
}
