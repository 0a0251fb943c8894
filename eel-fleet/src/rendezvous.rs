//! Orders the nodes for a target by hashes, in the same way at all nodes and in another way for each target.

use eel_types::Name;

use crate::stable_hash;

/// Returns the weight of a node for the target `key`.
pub fn weight(node: &Name, key: &str) -> u64 {
    stable_hash(&format!("{node} {key}"))
}

/// Returns how many of `others` come before `own` for the target `key`.
pub fn rank<'a>(own: &Name, others: impl IntoIterator<Item = &'a Name>, key: &str) -> u64 {
    let own = weight(own, key);
    let before = others.into_iter().filter(|node| weight(node, key) > own);
    before.count() as u64
}
