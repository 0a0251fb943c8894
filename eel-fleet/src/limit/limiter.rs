//! The limit of one target, and the bucket of the requests sent to it.

use std::collections::HashMap;

use super::{RateLimit, TargetUsage};
use crate::stable_hash;

/// How much earlier than on average a request may follow the one before, in µs: waiting requests are dispatched in steps of
/// that time.
const TOLERANCE_US: u64 = 25_000;
/// How long requests beyond the limit delay the following ones at the most, in µs.
const MAX_DELAY_US: u64 = 60_000_000;
/// The size of the subset of nodes that use a target, whatever its limit is.
const MIN_SUBSET: u64 = 4;
/// The rate, in requests per 1,000 s, for which the subset has one more node.
const PER_1000_S_PER_NODE: u64 = 3_200;
/// The maximum jitter for each node of the subset, in µs: the time in which the others learn of a request.
const JITTER_PER_NODE_US: u64 = 30_000;
/// The maximum jitter of all nodes, as a part of the time between two requests.
const MAX_JITTER_DIVISOR: u64 = 4;
/// The time without a response after which the subset doubles, in ms: its nodes may have no requests, and only a response
/// shows that a limit has ended.
const SUBSET_DOUBLING_MS: u64 = 10_000;

const US_PER_MS: u64 = 1_000;

/// The limit that a response named. The target named it between the two times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// `None` if the response named none.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub asked_ms: u64,
    /// When the response arrived.
    pub answered_ms: u64,
}

impl Observation {
    /// Returns whether this limit holds now that `known` was observed. Of two responses whose order is not certain, the
    /// stricter one holds.
    fn replaces(&self, known: &Self) -> bool {
        if self.asked_ms > known.answered_ms {
            true
        } else if self.answered_ms < known.asked_ms {
            false
        } else if self.limit == known.limit {
            self.answered_ms > known.answered_ms
        } else {
            RateLimit::is_stricter(self.limit, known.limit)
        }
    }
}

/// The state of one target's limit at this node.
#[derive(Debug)]
pub struct Limiter {
    observed: Observation,
    /// When the next request would arrive at the rate of the limit (the theoretical arrival time of GCRA), in µs.
    next_arrival_us: u64,
    /// The number of requests that this node has sent under the limit.
    sent: u32,
    /// The counts of the peers, by their incarnation.
    peers: HashMap<u64, u32>,
    /// How many other nodes come before this one in the order in which they join the subset.
    pub rank: u64,
    /// Decides the jitter; differs between nodes and from one counted request to the next.
    jitter_seed: u64,
    /// Whether the last change is still to be sent to peers.
    pub has_news: bool,
}

impl Limiter {
    pub fn new(rank: u64, jitter_seed: u64) -> Self {
        Self {
            observed: Observation::default(),
            next_arrival_us: 0,
            sent: 0,
            peers: HashMap::new(),
            rank,
            jitter_seed,
            has_news: false,
        }
    }

    /// Returns the limit in force; `None` if there is none.
    pub fn limit(&self) -> Option<RateLimit> {
        self.observed.limit
    }

    pub fn sent(&self) -> u32 {
        self.sent
    }

    pub fn answered_ms(&self) -> u64 {
        self.observed.answered_ms
    }

    /// Applies what a response named. Returns whether the limit has changed.
    pub fn observe(&mut self, now_ms: u64, observation: Observation, share: Share) -> bool {
        if !observation.replaces(&self.observed) {
            return false;
        }
        let before = self.observed.limit;
        self.observed = observation;
        if before == observation.limit {
            return false;
        }
        self.has_news = true;
        let at_us = now_ms * US_PER_MS;
        let delay_us = self.next_arrival_us.saturating_sub(at_us);
        if let Some(limit) = observation.limit {
            let delay_us = match before {
                Some(before) => delay_us.saturating_mul(limit.interval_us()) / before.interval_us(),
                None => self.first_delay_us(limit, share),
            };
            self.next_arrival_us = at_us + delay_us.min(MAX_DELAY_US);
        }
        true
    }

    /// Returns how long after a limit became known this node sends its first request. Nodes that do not reach one another
    /// send theirs at different times.
    fn first_delay_us(&self, limit: RateLimit, share: Share) -> u64 {
        let others_us = share.interval_us(limit).saturating_sub(limit.interval_us());
        limit.interval_us() + self.jitter_seed % others_us.max(1)
    }

    /// Counts a request of this node.
    pub fn on_start(&mut self, now_ms: u64, share: Share) {
        if self.observed.limit.is_some() {
            self.sent = self.sent.wrapping_add(1);
            self.has_news = true;
            self.count(now_ms, 1, share);
        }
    }

    /// Counts the requests that a peer has sent since its notice before. The first one only says where its count begins.
    pub fn on_peer(&mut self, now_ms: u64, sender: u64, usage: &TargetUsage, share: Share) {
        let Some(known) = self.peers.get_mut(&sender) else {
            self.peers.insert(sender, usage.sent);
            return;
        };
        let sent = usage.sent.wrapping_sub(*known);
        // A notice that was overtaken by a later one has a lower count.
        if sent <= u32::MAX / 2 {
            *known = usage.sent;
            // Bounds the debt after a partition, during which the peer kept to its own share.
            let max_sent = 1 + self.limit().map_or(0, RateLimit::per_1000_s) / 1_000;
            self.count(now_ms, u64::from(sent).min(max_sent), share);
        }
    }

    /// Forgets the counts of nodes for which `is_known` does not hold.
    pub fn retain_peers(&mut self, is_known: impl Fn(u64) -> bool) {
        self.peers.retain(|&peer, _| is_known(peer));
    }

    fn count(&mut self, now_ms: u64, requests: u64, share: Share) {
        let Some(limit) = self.observed.limit else {
            return;
        };
        self.jitter_seed = stable_hash(&self.jitter_seed.to_string());
        let at_us = now_ms * US_PER_MS;
        let used_us = share.interval_us(limit).saturating_mul(requests);
        let until_us = self.next_arrival_us.max(at_us).saturating_add(used_us);
        self.next_arrival_us = until_us.min(at_us + MAX_DELAY_US);
    }

    /// Returns when this node may send the next request, in ms; a time in the past if it may send one now.
    pub fn opens_at_ms(&self) -> u64 {
        let Some(limit) = self.observed.limit else {
            return 0;
        };
        let subset = MIN_SUBSET + limit.per_1000_s() / PER_1000_S_PER_NODE;
        // The subset contains this node once it has doubled so often.
        let doublings = u64::BITS - (self.rank / subset).leading_zeros();
        let joined_ms = self.observed.answered_ms + u64::from(doublings) * SUBSET_DOUBLING_MS;
        let free_us = self.next_arrival_us.saturating_sub(TOLERANCE_US);
        let free_us = free_us + self.jitter_us(limit, subset << doublings);
        free_us.div_ceil(US_PER_MS).max(joined_ms)
    }

    /// Returns the jitter of the next request, by which the nodes of a subset rarely send it at the same time.
    fn jitter_us(&self, limit: RateLimit, subset: u64) -> u64 {
        let max_us = subset.saturating_mul(JITTER_PER_NODE_US);
        let max_us = max_us.min(limit.interval_us() / MAX_JITTER_DIVISOR);
        self.jitter_seed % max_us.max(1)
    }

    /// Returns what peers should know.
    pub fn usage(&self, now_ms: u64, incarnation: u64) -> TargetUsage {
        TargetUsage {
            incarnation,
            limit: self.observed.limit,
            asked_ago_ms: now_ms.saturating_sub(self.observed.asked_ms),
            answered_ago_ms: now_ms.saturating_sub(self.observed.answered_ms),
            sent: self.sent,
        }
    }
}

/// The part of a limit that this node and the nodes that it reaches may use together; the others use the rest.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// The number of nodes that this node reaches, with itself.
    pub reachable: u64,
    /// The number of all nodes.
    pub nodes: u64,
}

impl Share {
    /// Returns the time from one request to the next under this part of the limit, in µs.
    fn interval_us(self, limit: RateLimit) -> u64 {
        limit.interval_us().saturating_mul(self.nodes) / self.reachable.max(1)
    }
}
