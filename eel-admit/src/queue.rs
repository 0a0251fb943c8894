//! Request queues that serve callers round-robin.

use std::collections::{HashMap, VecDeque};

use eel_types::Name;
use slotmap::new_key_type;

new_key_type! {
    /// Identifies a queued or running request.
    pub(crate) struct Ticket;
}

/// Serves callers round-robin, and the requests of each caller first in, first out.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    turns: VecDeque<Name>,
    waiting: HashMap<Name, VecDeque<Ticket>>,
    len: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push(&mut self, caller: &Name, ticket: Ticket) {
        if !self.waiting.contains_key(caller) {
            self.turns.push_back(caller.clone());
        }
        let queue = self.waiting.entry(caller.clone()).or_default();
        queue.push_back(ticket);
        self.len += 1;
    }

    /// Removes and returns the oldest request of the caller whose turn it is.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let caller = self.turns.pop_front()?;
        let queue = self.waiting.get_mut(&caller)?;
        let ticket = queue.pop_front()?;
        self.len -= 1;
        if queue.is_empty() {
            self.waiting.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        Some(ticket)
    }

    /// Returns the newest request of the caller with the most queued requests.
    pub(crate) fn last_of_longest(&self) -> Option<Ticket> {
        let longest = self
            .turns
            .iter()
            .max_by_key(|caller| self.waiting_of(caller))?;
        self.waiting.get(longest)?.back().copied()
    }

    /// Returns the number of queued requests of `caller`.
    pub(crate) fn waiting_of(&self, caller: &Name) -> usize {
        self.waiting.get(caller).map_or(0, VecDeque::len)
    }

    /// Returns how many queued requests would be served before a new request of `caller`.
    pub(crate) fn ahead_of(&self, caller: &Name) -> usize {
        let turns = self.waiting_of(caller) + 1;
        let others = self.turns.iter().filter(|other| *other != caller);
        let ahead: usize = others.map(|other| self.waiting_of(other).min(turns)).sum();
        ahead + turns - 1
    }

    pub(crate) fn remove(&mut self, caller: &Name, ticket: Ticket) {
        let Some(queue) = self.waiting.get_mut(caller) else {
            return;
        };
        let Some(index) = queue.iter().position(|other| *other == ticket) else {
            return;
        };
        queue.remove(index);
        self.len -= 1;
        if queue.is_empty() {
            self.waiting.remove(caller);
            self.turns.retain(|other| other != caller);
        }
    }
}
