//! Which node runs a job's items.

use eel_types::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the node that runs the items of `job`, by the highest hash of both names.
///
/// Nodes that see different members may both run an item for a while; its result is listed once all the same.
pub fn owner_of<'a>(job: &str, nodes: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    nodes
        .max_by_key(|node| xxh3_64_with_seed(job.as_bytes(), xxh3_64_with_seed(node.as_bytes(), 0)))
}
