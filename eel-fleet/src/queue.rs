//! The queue of one service's requests that wait for a slot.
//!
//! Requests that can still start in time come first, by the tenant's priority, the route's priority, the fair order over
//! tenants and then the latest start. Late requests follow in the same order, with the deadline in place of the latest
//! start. A late request whose tenant is due in the fair order is ranked with those in time, as the excess of others, which
//! is always in time, would otherwise go before it until its deadline. Where no request has a tenant, the fair order decides
//! nothing.

use std::collections::HashMap;

use eel_types::Name;
use slotmap::SlotMap;

use crate::{
    TargetKey,
    fair_order::{FairOrder, Flow, PriorityRank},
};

slotmap::new_key_type! {
    /// Identifies a waiting request within the queue of its service.
    pub struct TicketKey;
}

/// A queued request, with what decides its place in the queue and its choice of a target.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The tenant; `None` if the request has none.
    pub tenant: Option<Name>,
    /// The priority of the tenant; 0 is the most urgent, and that of all requests without a tenant.
    pub tenant_priority: u8,
    /// The priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// The latest start that still meets the latency goal.
    pub start_by_ms: u64,
    /// The latest start that is still of use to the caller.
    pub give_up_ms: u64,
    /// Whether the request waits until `give_up_ms` even if it is not expected to start in time.
    pub accepts_late: bool,
    /// Targets that must not be chosen, because the request was sent to them before.
    pub excluded: Vec<TargetKey>,
    /// The only version that may be chosen; `None` if any may be chosen.
    pub version: Option<Name>,
    /// Breaks ties between equally ranked targets; differs between requests.
    pub tie_breaker: u64,
}

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: SlotMap<TicketKey, QueuedRequest>,
    /// The number of waiting requests that have a tenant.
    of_tenants: usize,
    fair: FairOrder,
}

/// The place of a request in the order of starts; the lowest starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether it can no longer start in time; `false` for a request whose tenant is due.
    is_late: bool,
    priority: PriorityRank,
    /// The start tag of the fair order; 0 for all requests while none has a tenant.
    tag: u64,
    /// The latest start, or the deadline if that is over.
    by_ms: u64,
}

impl Queue {
    pub fn push(&mut self, waiting: QueuedRequest) -> TicketKey {
        self.of_tenants += usize::from(waiting.tenant.is_some());
        self.waiting.insert(waiting)
    }

    /// Removes a request that is cancelled or rejected.
    pub fn remove(&mut self, ticket: TicketKey) -> Option<QueuedRequest> {
        let removed = self.waiting.remove(ticket)?;
        self.of_tenants -= usize::from(removed.tenant.is_some());
        if self.of_tenants == 0 {
            self.fair.clear();
        }
        Some(removed)
    }

    /// Removes a request that starts.
    pub fn start(&mut self, ticket: TicketKey) {
        if let Some(started) = self.waiting.get(ticket) {
            let flow = started.flow();
            self.count_start(flow);
        }
        self.remove(ticket);
    }

    /// Counts a request that starts without having waited.
    pub fn on_start(&mut self, started: &QueuedRequest) {
        self.count_start(started.flow());
    }

    fn count_start(&mut self, flow: Flow) {
        if self.has_tenants() {
            self.fair.on_start(flow);
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that can still start in time.
    pub fn in_time(&self, now_ms: u64) -> usize {
        let waiting = self.waiting.values();
        waiting.filter(|it| now_ms <= it.start_by_ms).count()
    }

    /// Returns whether any waiting request has a tenant.
    pub fn has_tenants(&self) -> bool {
        self.of_tenants > 0
    }

    /// Returns the tickets of all requests, sorted by the order in which they should start.
    pub fn in_order(&self, now_ms: u64) -> Vec<TicketKey> {
        let mut order = self.ranked(now_ms);
        order.sort_by_key(|&(rank, _)| rank);
        order.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Returns the tickets of all requests with their ranks, in no certain order.
    fn ranked(&self, now_ms: u64) -> Vec<(Rank, TicketKey)> {
        let mut ranked: Vec<_> = self
            .waiting
            .iter()
            .map(|(ticket, it)| (it.rank(now_ms), ticket))
            .collect();
        if !self.has_tenants() {
            return ranked;
        }
        // Within a flow, requests get their tags in the order of their latest start.
        ranked.sort_by_key(|&(rank, _)| rank);
        let mut next_tags = HashMap::new();
        for (rank, ticket) in &mut ranked {
            let flow = self.waiting[*ticket].flow();
            let first = self.fair.next_tag(&flow);
            let next = next_tags.entry(flow).or_insert(first);
            rank.tag = *next;
            rank.is_late &= !self.fair.is_due(rank.priority, rank.tag);
            *next += 1;
        }
        ranked
    }

    pub fn get(&self, ticket: TicketKey) -> Option<&QueuedRequest> {
        self.waiting.get(ticket)
    }

    /// Returns how many queued requests start before `new` for the slots that it can use.
    pub fn ahead_of(&self, now_ms: u64, new: &QueuedRequest) -> usize {
        let rank = self.rank_of_new(now_ms, new);
        let ranked = self.ranked(now_ms).into_iter();
        let ahead = ranked.filter(|(it, _)| *it <= rank);
        let competing = ahead.filter(|(_, ticket)| {
            let version = &self.waiting[*ticket].version;
            version.is_none() || *version == new.version
        });
        competing.count()
    }

    fn rank_of_new(&self, now_ms: u64, new: &QueuedRequest) -> Rank {
        let rank = Rank {
            is_late: false,
            by_ms: new.start_by_ms,
            ..new.rank(now_ms)
        };
        if !self.has_tenants() {
            return rank;
        }
        let flow = new.flow();
        let same = self.waiting.values().filter(|it| it.flow() == flow);
        let ahead = same.filter(|it| it.rank(now_ms) <= rank).count();
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        Rank {
            tag: self.fair.next_tag(&flow).saturating_add(ahead),
            ..rank
        }
    }
}

impl QueuedRequest {
    /// Returns the time after which the request is rejected rather than kept waiting.
    pub fn reject_after_ms(&self) -> u64 {
        if self.accepts_late {
            self.give_up_ms
        } else {
            self.start_by_ms.min(self.give_up_ms)
        }
    }

    fn flow(&self) -> Flow {
        Flow {
            priority: self.priority_rank(),
            tenant: self.tenant.clone(),
        }
    }

    fn priority_rank(&self) -> PriorityRank {
        (self.tenant_priority, self.priority)
    }

    /// Returns the rank without the tag of the fair order.
    fn rank(&self, now_ms: u64) -> Rank {
        let is_late = now_ms > self.start_by_ms;
        Rank {
            is_late,
            priority: self.priority_rank(),
            tag: 0,
            by_ms: if is_late {
                self.give_up_ms
            } else {
                self.start_by_ms
            },
        }
    }
}
