//! Bounded record of requests that have ended or must not start.

use std::collections::{HashMap, VecDeque};

use crate::{RequestKey, Settlement};

/// How a remembered request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalState {
    /// It started and has ended.
    Finished,
    /// It arrived, was refused, and did not start.
    Refused,
    /// It was settled or cancelled before it arrived, and did not start.
    Barred,
    /// It was settled or cancelled when its entry may already have been evicted, so it may have run.
    BarredUnknown,
}

/// Records how requests ended, for the retention time and with a bounded number of entries.
///
/// When the history is full, the oldest request that arrived is evicted. A link delivers a request once, so no copy of
/// it can follow, and for the retention time an unknown request settles as [`Settlement::Unknown`]. Barred requests are
/// never evicted early, because the request itself may still arrive.
#[derive(Debug)]
pub(crate) struct History {
    final_states: HashMap<RequestKey, FinalState>,
    arrived: VecDeque<Expiry>,
    barred: VecDeque<Expiry>,
    capacity: usize,
    retention_ms: u64,
    incomplete_until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Expiry {
    at_ms: u64,
    key: RequestKey,
}

impl History {
    pub(crate) fn new(capacity: usize, retention_ms: u64) -> Self {
        Self {
            final_states: HashMap::new(),
            arrived: VecDeque::new(),
            barred: VecDeque::new(),
            capacity: capacity.max(1),
            retention_ms,
            incomplete_until_ms: 0,
        }
    }

    pub(crate) fn get(&self, key: RequestKey) -> Option<FinalState> {
        self.final_states.get(&key).copied()
    }

    /// Records the end of a request that arrived.
    pub(crate) fn record(&mut self, now_ms: u64, key: RequestKey, final_state: FinalState) {
        self.expire(now_ms);
        if self.arrived.len() >= self.capacity {
            self.evict_oldest(now_ms);
        }
        if self.final_states.insert(key, final_state).is_none() {
            let at_ms = now_ms.saturating_add(self.retention_ms);
            self.arrived.push_back(Expiry { at_ms, key });
        }
    }

    /// Keeps a request that is neither recorded, queued nor running from starting, and returns its settlement.
    ///
    /// If the list of barred requests is full, the request is not barred and its settlement is unknown.
    pub(crate) fn bar(&mut self, now_ms: u64, key: RequestKey) -> Settlement {
        self.expire(now_ms);
        if self.barred.len() >= self.capacity {
            return Settlement::Unknown;
        }
        let (final_state, settlement) = if now_ms < self.incomplete_until_ms {
            (FinalState::BarredUnknown, Settlement::Unknown)
        } else {
            (FinalState::Barred, Settlement::NeverStarted)
        };
        let at_ms = now_ms.saturating_add(self.retention_ms);
        self.final_states.insert(key, final_state);
        self.barred.push_back(Expiry { at_ms, key });
        settlement
    }

    fn evict_oldest(&mut self, now_ms: u64) {
        if let Some(oldest) = self.arrived.pop_front() {
            self.final_states.remove(&oldest.key);
            self.incomplete_until_ms = now_ms.saturating_add(self.retention_ms);
        }
    }

    fn expire(&mut self, now_ms: u64) {
        for queue in [&mut self.arrived, &mut self.barred] {
            while queue.front().is_some_and(|oldest| oldest.at_ms <= now_ms) {
                if let Some(oldest) = queue.pop_front() {
                    self.final_states.remove(&oldest.key);
                }
            }
        }
    }
}
