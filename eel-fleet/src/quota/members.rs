//! The number of nodes that share the quotas.

use std::collections::HashMap;

use eel_types::Name;

use super::QuotaPeer;
use crate::rendezvous;

/// How long a node that is no longer listed keeps its share, in ms: it may be alive and cut off. After a time shorter than
/// this, a node that is cut off reduces its own share.
const UNLISTED_HOLD_MS: u64 = 30_000;
/// The same if less than half of the nodes are reachable: this node may be the one that is cut off.
const MINORITY_HOLD_MS: u64 = 600_000;
/// How long a node without contact to the store keeps its share if it reaches less than half of the nodes, in ms.
const CUT_OFF_MS: u64 = 20_000;
/// How long a node counts as just started, in ms: the time within which every node with contact to the store learns of it.
const START_MS: u64 = 4_000;
/// The smallest number of nodes that a node that has just started assumes: others that start with it may not be listed yet.
const MIN_START_NODES: u64 = 16;
/// The number of nodes that begin with a token of a tenant's quota after a restart. Without any, a fleet that restarts would
/// refuse tenants of a few requests a second until every node has accrued a whole token.
const START_TOKENS: u64 = 5;
/// The share of a node that may use what others use, as a divisor: it joins the nodes and has not heard from all
/// of them, or it is cut off. All such nodes together stay within the allowed excess of 10%.
const UNSURE_DIVISOR: u64 = 10;

#[derive(Debug)]
struct Member {
    incarnation: u64,
    is_reachable: bool,
    listed_ms: u64,
}

/// All nodes, among them those that were removed from the list not long ago.
#[derive(Debug, Default)]
pub struct Members {
    /// The name of this node; `None` before the nodes are known.
    own: Option<Name>,
    others: HashMap<Name, Member>,
    started_ms: Option<u64>,
    contact_ms: u64,
    /// The divisor of quotas that gives this node's part.
    divisor: u64,
    /// Whether the store still had the entry of an earlier incarnation of this node when it started. The other nodes then
    /// leave it its part of the quotas already.
    is_restarted: bool,
}

impl Members {
    /// Sets this node's name, the other nodes, and whether this node reaches the store, or a peer that does. Returns whether
    /// the shares may have changed.
    pub fn set(
        &mut self,
        now_ms: u64,
        own: &Name,
        peers: Vec<QuotaPeer>,
        has_contact: bool,
    ) -> bool {
        let is_first = self.own.is_none();
        self.own.get_or_insert_with(|| own.clone());
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        let has_started = now_ms >= started_ms + START_MS;
        self.is_restarted |= !has_started && peers.iter().any(|it| it.name == *own);
        if has_contact || is_first {
            self.contact_ms = now_ms;
        }
        for member in self.others.values_mut() {
            member.is_reachable = false;
        }
        let mut has_changed = is_first;
        for peer in peers.into_iter().filter(|it| it.name != *own) {
            let member = Member {
                incarnation: peer.incarnation,
                is_reachable: peer.is_reachable,
                listed_ms: now_ms,
            };
            let before = self.others.insert(peer.name, member);
            has_changed |= before.is_none_or(|it| it.incarnation != peer.incarnation);
        }
        let is_majority = 2 * self.reachable() > self.known();
        let hold_ms = if is_majority {
            UNLISTED_HOLD_MS
        } else {
            MINORITY_HOLD_MS
        };
        let known = self.known();
        self.others.retain(|_, it| now_ms < it.listed_ms + hold_ms);
        has_changed |= known != self.known();
        let divisor = self.divisor_at(now_ms, started_ms, is_majority);
        has_changed |= divisor != self.divisor;
        self.divisor = divisor;
        has_changed
    }

    fn divisor_at(&self, now_ms: u64, started_ms: u64, is_majority: bool) -> u64 {
        let (known, reachable) = (self.known(), self.reachable());
        let has_started = now_ms >= started_ms + START_MS;
        let is_cut_off = !is_majority && now_ms > self.contact_ms + CUT_OFF_MS;
        let is_joining = !has_started && !self.is_restarted && reachable < known;
        if is_cut_off || is_joining {
            known * UNSURE_DIVISOR
        } else if has_started || self.is_restarted {
            known
        } else {
            known.max(MIN_START_NODES)
        }
    }

    /// Returns the divisor of a tenant's quota that gives this node's part; `None` if the node has no part, or the nodes are not
    /// known yet.
    ///
    /// There are as many parts as nodes, but not more than the whole tokens of the quota: parts of tokens admit nothing.
    pub fn divisor(&self, tenant: u64, tokens: u64) -> Option<u64> {
        let own = self.own.as_ref()?;
        let known = self.known();
        let divisor = self.divisor.max(1);
        if tokens >= known {
            return Some(divisor);
        }
        let rank = rendezvous::rank(own, self.others.keys(), &format!("{tenant:x}"));
        (rank < tokens).then(|| (divisor * tokens / known).max(1))
    }

    /// Returns whether this node begins with a token of a tenant's quota: it is one of a few that have restarted.
    pub fn has_start_token(&self, tenant: u64) -> bool {
        let rank = |own| rendezvous::rank(own, self.others.keys(), &format!("{tenant:x}"));
        let own = self.own.as_ref().filter(|_| self.is_restarted);
        own.is_some_and(|own| rank(own) < START_TOKENS)
    }

    /// Returns whether the store still had the entry of an earlier incarnation of this node when it started.
    pub fn is_restarted(&self) -> bool {
        self.is_restarted
    }

    /// Returns whether a node of this incarnation is known.
    pub fn contains(&self, incarnation: u64) -> bool {
        self.others.values().any(|it| it.incarnation == incarnation)
    }

    fn known(&self) -> u64 {
        1 + u64::try_from(self.others.len()).unwrap_or(u64::MAX)
    }

    fn reachable(&self) -> u64 {
        let reachable = self.others.values().filter(|it| it.is_reachable).count();
        1 + u64::try_from(reachable).unwrap_or(u64::MAX)
    }
}
