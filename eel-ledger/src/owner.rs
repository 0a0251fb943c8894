//! Assigns jobs to nodes by rendezvous hashing.

use eel_types::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the node that runs the items of `job`: the one with the highest hash of both names. `None` without nodes.
///
/// Nodes with different views of the membership may both run an item for a while. Its result is still listed only once.
pub fn owner_of<'a>(job: &str, nodes: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    nodes
        .max_by_key(|node| xxh3_64_with_seed(job.as_bytes(), xxh3_64_with_seed(node.as_bytes(), 0)))
}
