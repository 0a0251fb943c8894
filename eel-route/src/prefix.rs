//! Hints about which targets hold a prompt prefix in their cache.

use std::collections::{HashMap, VecDeque};

use crate::TargetKey;

/// Maximum number of targets kept per prefix.
const MAX_TARGETS_PER_PREFIX: usize = 2;

/// The targets that hold one prefix, the latest hint first.
pub(crate) type CachedAt = [Option<TargetKey>; MAX_TARGETS_PER_PREFIX];

/// Keeps the latest hints for at most `capacity` prefixes. Hints arrive late and some are lost, so a target named here
/// is preferred but never relied on.
#[derive(Debug)]
pub(crate) struct PrefixHints {
    capacity: usize,
    targets: HashMap<u64, CachedAt>,
    order: VecDeque<u64>,
}

impl PrefixHints {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            targets: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records that `target` holds the prefix.
    pub(crate) fn insert(&mut self, prefix_hash: u64, target: TargetKey) {
        if self.capacity == 0 {
            return;
        }
        if let Some(known) = self.targets.get_mut(&prefix_hash) {
            if !known.contains(&Some(target)) {
                known.rotate_right(1);
                known[0] = Some(target);
            }
            return;
        }
        if self.order.len() >= self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.targets.remove(&oldest);
        }
        self.order.push_back(prefix_hash);
        self.targets.insert(prefix_hash, [Some(target), None]);
    }

    /// Records that `target` dropped the prefix.
    pub(crate) fn remove(&mut self, prefix_hash: u64, target: TargetKey) {
        if let Some(known) = self.targets.get_mut(&prefix_hash) {
            for slot in known.iter_mut().filter(|slot| **slot == Some(target)) {
                *slot = None;
            }
        }
    }

    /// Returns the targets that are said to hold the prefix.
    pub(crate) fn get(&self, prefix_hash: u64) -> CachedAt {
        self.targets.get(&prefix_hash).copied().unwrap_or_default()
    }
}
