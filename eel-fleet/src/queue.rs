//! The requests of one service that wait for a slot.
//!
//! Order: requests that can still be on time, by the time by which they have to start; then late ones, by deadline.

use slotmap::SlotMap;

use crate::TargetKey;

slotmap::new_key_type! {
    /// A request that waits.
    pub struct TicketKey;
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The last moment at which a start is in time for the goal.
    pub start_by_ms: u64,
    /// The last moment at which a start is of use.
    pub give_up_ms: u64,
    /// Targets that it has met already.
    pub excluded: Vec<TargetKey>,
    /// Spreads equal choices.
    pub tie_breaker: u64,
}

/// The requests of one service that wait.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: SlotMap<TicketKey, QueuedRequest>,
}

impl Queue {
    pub fn push(&mut self, waiting: QueuedRequest) -> TicketKey {
        self.waiting.insert(waiting)
    }

    pub fn remove(&mut self, ticket: TicketKey) -> Option<QueuedRequest> {
        self.waiting.remove(ticket)
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the tickets in the order in which they should start.
    pub fn in_order(&self, now_ms: u64) -> Vec<TicketKey> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(ticket, it)| (it.rank(now_ms), ticket))
            .collect();
        order.sort_by_key(|&(rank, _)| rank);
        order.into_iter().map(|(_, ticket)| ticket).collect()
    }

    pub fn get(&self, ticket: TicketKey) -> Option<&QueuedRequest> {
        self.waiting.get(ticket)
    }

    /// Returns how many requests start before one with this rank would.
    pub fn ahead_of(&self, now_ms: u64, priority: u8, start_by_ms: u64) -> usize {
        let rank = (false, priority, start_by_ms);
        self.waiting
            .values()
            .filter(|it| it.rank(now_ms) <= rank)
            .count()
    }
}

impl QueuedRequest {
    fn rank(&self, now_ms: u64) -> (bool, u8, u64) {
        let is_late = now_ms > self.start_by_ms;
        let by_ms = if is_late {
            self.give_up_ms
        } else {
            self.start_by_ms
        };
        (is_late, self.priority, by_ms)
    }
}
