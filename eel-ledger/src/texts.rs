//! Decides which unfinished texts a node drops when together they take too much memory.

use std::cmp::Reverse;

/// Returns the largest of `texts`, given with their sizes in bytes, without which the others fit into `max_bytes`.
#[must_use]
pub fn largest_beyond<K>(texts: impl IntoIterator<Item = (K, usize)>, max_bytes: usize) -> Vec<K> {
    let mut texts: Vec<(K, usize)> = texts.into_iter().collect();
    let mut held_bytes: usize = texts.iter().map(|(_, bytes)| bytes).sum();
    if held_bytes <= max_bytes {
        return Vec::new();
    }
    texts.sort_by_key(|(_, bytes)| Reverse(*bytes));
    let dropped = texts.into_iter().take_while(|(_, bytes)| {
        let is_dropped = held_bytes > max_bytes;
        held_bytes -= bytes;
        is_dropped
    });
    dropped.map(|(key, _)| key).collect()
}
