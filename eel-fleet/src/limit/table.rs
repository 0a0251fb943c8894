//! The limits of all targets, and the nodes that keep them.

use std::collections::HashMap;

use eel_types::Name;

use super::{
    LimitNotice, NamedLimit, RateLimit, TargetUsage,
    limiter::{Limiter, Observation, Share},
};
use crate::rendezvous;

/// How long a limit is kept whose target is not listed any more, and the end of a limit: much longer than an outage of the
/// store, after which the target's entry can return, or a partition, after which a peer still has the limit.
const UNLISTED_TTL_MS: u64 = 600_000;
/// How long notices repeat the end of a limit.
const ENDED_NOTICE_TTL_MS: u64 = 5_000;
/// How long notices repeat a limit that a node outside the subset has learned.
const OBSERVED_NOTICE_TTL_MS: u64 = 1_000;

/// A change of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Hash of the target's incarnation.
    pub incarnation: u64,
    /// The limit in force; `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// The number of requests that this node has sent under limits of the target so far.
    pub sent: u32,
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitPeer {
    /// The name of the node.
    pub name: Name,
    /// The node's incarnation.
    pub incarnation: u64,
    /// Whether a load report of the node arrived recently.
    pub is_reachable: bool,
}

/// The limits that targets have named, by the hash of their incarnations.
#[derive(Debug, Default)]
pub struct LimitTable {
    limiters: HashMap<u64, Limiter>,
    /// The name of this node; `None` before the nodes are known.
    own: Option<Name>,
    peers: Vec<LimitPeer>,
}

impl LimitTable {
    /// Sets the name of this node and the other nodes.
    pub fn set_nodes(&mut self, own: &Name, peers: Vec<LimitPeer>) {
        if self.own.as_ref() == Some(own) && peers == self.peers {
            return;
        }
        self.own = Some(own.clone());
        self.peers = peers;
        let peers = &self.peers;
        for (&incarnation, limiter) in &mut self.limiters {
            limiter.rank = rank(own, peers, incarnation);
            limiter.retain_peers(|sender| peers.iter().any(|it| it.incarnation == sender));
        }
    }

    /// Returns the limit in force of a target; `None` if there is none.
    #[must_use]
    pub fn limit(&self, incarnation: u64) -> Option<RateLimit> {
        self.limiters.get(&incarnation)?.limit()
    }

    /// Returns when this node may send the next request to a target, in ms.
    #[must_use]
    pub fn opens_at_ms(&self, incarnation: u64) -> u64 {
        let limiter = self.limiters.get(&incarnation);
        limiter.map_or(0, Limiter::opens_at_ms)
    }

    /// Counts a request to a target.
    pub fn on_start(&mut self, now_ms: u64, incarnation: u64) {
        let share = self.share();
        if let Some(limiter) = self.limiters.get_mut(&incarnation) {
            limiter.on_start(now_ms, share);
        }
    }

    /// Records what a response named to a request sent at `asked_ms`. Returns the change if there is one.
    pub fn on_response(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        asked_ms: u64,
        named: NamedLimit,
    ) -> Option<LimitChange> {
        let limit = match named {
            NamedLimit::Absent => None,
            NamedLimit::Rate(limit) => Some(limit),
            NamedLimit::Invalid => return None,
        };
        let observation = Observation {
            limit,
            asked_ms,
            answered_ms: now_ms,
        };
        self.observe(now_ms, incarnation, observation)
    }

    /// Applies a peer's notice on the targets for which `is_listed` holds. Returns the changes.
    pub fn on_notice(
        &mut self,
        now_ms: u64,
        notice: &LimitNotice,
        is_listed: impl Fn(u64) -> bool,
    ) -> Vec<LimitChange> {
        let share = self.share();
        let mut changes = Vec::new();
        for usage in notice.targets.iter().filter(|it| is_listed(it.incarnation)) {
            let observation = Observation {
                limit: usage.limit,
                asked_ms: now_ms.saturating_sub(usage.asked_ago_ms),
                answered_ms: now_ms.saturating_sub(usage.answered_ago_ms),
            };
            changes.extend(self.observe(now_ms, usage.incarnation, observation));
            if let Some(limiter) = self.limiters.get_mut(&usage.incarnation) {
                limiter.on_peer(now_ms, notice.sender, usage, share);
                // The sender may have missed the later response.
                limiter.has_news |= limiter.limit() != usage.limit;
            }
        }
        changes
    }

    /// Returns what to tell peers: what is new, or if `is_full`, all that they may have missed.
    pub fn news(&mut self, now_ms: u64, is_full: bool) -> Vec<TargetUsage> {
        let mut news = Vec::new();
        for (&incarnation, limiter) in &mut self.limiters {
            let age_ms = now_ms.saturating_sub(limiter.answered_ms());
            let is_recent = match limiter.limit() {
                Some(_) => {
                    limiter.opens_at_ms() <= now_ms + OBSERVED_NOTICE_TTL_MS
                        || age_ms < OBSERVED_NOTICE_TTL_MS
                }
                None => age_ms < ENDED_NOTICE_TTL_MS,
            };
            if limiter.has_news || (is_full && is_recent) {
                limiter.has_news = false;
                news.push(limiter.usage(now_ms, incarnation));
            }
        }
        news
    }

    /// Returns the number of targets whose limits are in force.
    #[must_use]
    pub fn len(&self) -> usize {
        let limiters = self.limiters.values();
        limiters.filter(|it| it.limit().is_some()).count()
    }

    /// Returns whether no limit is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops what is not needed any more of targets for which `is_listed` does not hold, and of limits that have ended.
    pub fn drop_old(&mut self, now_ms: u64, is_listed: impl Fn(u64) -> bool) {
        self.limiters.retain(|&incarnation, limiter| {
            let ttl_ms = match limiter.limit() {
                Some(_) if is_listed(incarnation) => u64::MAX,
                Some(_) | None => UNLISTED_TTL_MS,
            };
            now_ms < limiter.answered_ms().saturating_add(ttl_ms)
        });
    }

    fn observe(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        observation: Observation,
    ) -> Option<LimitChange> {
        if observation.limit.is_none() && !self.limiters.contains_key(&incarnation) {
            return None;
        }
        let share = self.share();
        let (own, peers) = (self.own.as_ref(), &self.peers);
        let limiter = self.limiters.entry(incarnation).or_insert_with(|| {
            let rank = own.map_or(0, |own| rank(own, peers, incarnation));
            let seed = own.map_or(0, |own| rendezvous::weight(own, &key_of(incarnation)));
            Limiter::new(rank, seed)
        });
        limiter
            .observe(now_ms, observation, share)
            .then(|| LimitChange {
                incarnation,
                limit: limiter.limit(),
                sent: limiter.sent(),
            })
    }

    fn share(&self) -> Share {
        let count = |peers: usize| u64::try_from(peers).unwrap_or(u64::MAX);
        let reachable = self.peers.iter().filter(|it| it.is_reachable).count();
        Share {
            reachable: count(reachable + 1),
            nodes: count(self.peers.len() + 1),
        }
    }
}

/// Returns how many of `peers` join the subset of a target before `own`.
fn rank(own: &Name, peers: &[LimitPeer], incarnation: u64) -> u64 {
    let peers = peers.iter().map(|it| &it.name);
    rendezvous::rank(own, peers, &key_of(incarnation))
}

fn key_of(incarnation: u64) -> String {
    format!("{incarnation:x}")
}
