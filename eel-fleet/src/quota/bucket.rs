//! The tokens of one tenant at this node.

use std::collections::{HashMap, VecDeque};

use super::{NodeQuota, TenantLevel};

/// One token; amounts of tokens are counted in millionths.
pub const TOKEN: u64 = 1_000_000;
/// The tokens of all nodes beyond the burst. The stated bound allows 20; the rest is for the tokens with which nodes start,
/// for requests that wait before they run, and for nodes that learn late of other nodes.
const EXTRA_TOKENS: u64 = 15;
/// How long granted tokens beyond the node's share can be used, from the notice that asked for them. They add to the burst
/// what the rate gives in this time; the stated bound allows 500 ms.
const GRANT_TTL_MS: u64 = 400;
/// The time for which a node keeps the tokens that it needs, in ms: two notices and the way of one.
const DEMAND_MS: u64 = 400;
/// How long a peer's level is used, in ms: two notices of an idle tenant.
const LEVEL_TTL_MS: u64 = 2_500;
/// How long after a request a node keeps a token for the next one, in ms.
const RESERVE_MS: u64 = 10_000;
/// The requests of [`DEMAND_MS`], in millionths, from which on a node asks for tokens beyond its share. Those are lost if
/// they are not used at once, as with a single request.
const SUSTAINED_DEMAND: u64 = 3 * TOKEN / 2;
/// The part of its tokens that a node with all its tokens grants to nodes that have fewer, as a divisor.
const OVERFLOW_DIVISOR: u64 = 8;

/// Returns the tokens that all nodes keep for a quota.
pub fn whole_tokens(quota: NodeQuota) -> u64 {
    quota.burst.saturating_add(EXTRA_TOKENS)
}

/// What a peer said last.
#[derive(Clone, Copy, Debug)]
struct PeerLevel {
    level: u64,
    target: u64,
    received_ms: u64,
    sent_ms: u64,
    /// Whether this notice was not yet answered with a grant.
    is_new: bool,
}

impl PeerLevel {
    fn need(self) -> u64 {
        self.target.saturating_sub(self.level)
    }
}

/// The tokens of one tenant.
#[derive(Debug)]
pub struct Bucket {
    quota: NodeQuota,
    /// The divisor of the quota that gives this node's part.
    divisor: u64,
    /// The tokens of this node's share; never more than its part of the burst.
    own: u64,
    /// Granted tokens beyond the share, each with the time until which they can be used, in ms.
    granted: VecDeque<(u64, u64)>,
    /// The requests of the last [`DEMAND_MS`], in millionths, as an average that decays.
    demand: u64,
    updated_ms: u64,
    /// When the last request came, in ms; `None` before the first one.
    requested_ms: Option<u64>,
    peers: HashMap<u64, PeerLevel>,
    /// The level and the target that peers were told last.
    told: (u64, u64),
    /// Whether the bucket gets all tokens of its share once the share is known.
    is_full_at_first: bool,
    /// The number of refused requests; spreads the times at which they return.
    pub refused: u64,
}

impl Bucket {
    /// Creates the bucket without tokens: other nodes may have used the burst just before this one started.
    pub fn new(now_ms: u64, quota: NodeQuota, divisor: u64) -> Self {
        Self {
            quota,
            divisor,
            own: 0,
            granted: VecDeque::new(),
            demand: 0,
            updated_ms: now_ms,
            requested_ms: None,
            peers: HashMap::new(),
            told: (0, 0),
            is_full_at_first: false,
            refused: 0,
        }
    }

    /// Gives the node all tokens of its share, also of one that is not known yet.
    pub fn fill(&mut self) {
        self.own = self.share();
        self.is_full_at_first = self.divisor == u64::MAX;
    }

    /// Adds the token with which the node starts; beyond its share it is lost.
    pub fn add_start_token(&mut self) {
        self.own = self.own.saturating_add(TOKEN).min(self.share());
    }

    /// Sets the quota of all nodes and the divisor that gives this node's part.
    pub fn set(&mut self, now_ms: u64, quota: NodeQuota, divisor: u64) {
        if (quota, divisor) == (self.quota, self.divisor) {
            return;
        }
        self.update(now_ms);
        if quota != self.quota {
            self.granted.clear();
        }
        (self.quota, self.divisor) = (quota, divisor);
        if self.divisor < u64::MAX && std::mem::take(&mut self.is_full_at_first) {
            self.own = self.share();
        }
        self.own = self.own.min(self.share());
    }

    /// Returns the most tokens that this node keeps.
    fn share(&self) -> u64 {
        whole_tokens(self.quota).saturating_mul(TOKEN) / self.divisor
    }

    /// Adds the tokens since the last update.
    fn update(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        if elapsed_ms == 0 {
            return;
        }
        let accrued = self.quota.per_1000_s.saturating_mul(elapsed_ms) / self.divisor;
        // An interval whose tokens round down to none is counted with the next one.
        if accrued > 0 || self.own >= self.share() {
            self.own = self.own.saturating_add(accrued).min(self.share());
            let decay = self.demand.saturating_mul(elapsed_ms.min(DEMAND_MS)) / DEMAND_MS;
            self.demand -= decay;
            self.updated_ms = now_ms;
        }
        self.granted.retain(|(until_ms, _)| now_ms < *until_ms);
    }

    pub fn quota(&self) -> NodeQuota {
        self.quota
    }

    pub fn level(&self) -> u64 {
        self.own + self.granted.iter().map(|(_, tokens)| tokens).sum::<u64>()
    }

    /// Returns the tokens that this node needs soon.
    fn target(&self) -> u64 {
        let is_used = self
            .requested_ms
            .is_some_and(|it| self.updated_ms < it + RESERVE_MS);
        let reserve = if is_used { self.share().min(TOKEN) } else { 0 };
        if self.demand > SUSTAINED_DEMAND {
            (self.demand / 2 + TOKEN).max(reserve)
        } else {
            reserve
        }
    }

    fn surplus(&self) -> u64 {
        self.own.saturating_sub(self.target())
    }

    /// Takes a token for a request. Returns whether there was one.
    pub fn take(&mut self, now_ms: u64) -> bool {
        self.update(now_ms);
        self.demand = self.demand.saturating_add(TOKEN);
        self.requested_ms = Some(now_ms);
        if self.level() < TOKEN {
            self.refused += 1;
            return false;
        }
        let mut left = TOKEN;
        while let Some((_, tokens)) = self.granted.front_mut() {
            let used = left.min(*tokens);
            *tokens -= used;
            left -= used;
            if *tokens > 0 {
                break;
            }
            self.granted.pop_front();
        }
        self.own = self.own.saturating_sub(left);
        true
    }

    /// Takes back the token of a request that has not run.
    pub fn give_back(&mut self, now_ms: u64) {
        self.update(now_ms);
        self.own = (self.own + TOKEN).min(self.share());
    }

    /// Applies what a peer says, if it is newer than what it said before.
    pub fn on_level(
        &mut self,
        now_ms: u64,
        sender: u64,
        sent_ms: u64,
        echo_ms: u64,
        it: &TenantLevel,
    ) {
        let known = self.peers.get(&sender);
        if known.is_some_and(|known| sent_ms <= known.sent_ms) {
            return;
        }
        self.update(now_ms);
        let level = PeerLevel {
            level: it.level,
            target: it.target,
            received_ms: now_ms,
            sent_ms,
            is_new: true,
        };
        self.peers.insert(sender, level);
        let all = whole_tokens(self.quota).saturating_mul(TOKEN);
        let grant = it.grant.min(all);
        let kept = grant.min(self.share().saturating_sub(self.own));
        self.own += kept;
        // The age is that of this node's request, on its own clock, so that late notices bring nothing.
        let until_ms = echo_ms + GRANT_TTL_MS;
        if grant > kept && now_ms < until_ms {
            self.granted.push_back((until_ms, grant - kept));
        }
    }

    /// Forgets the levels of nodes for which `is_known` does not hold.
    pub fn retain_peers(&mut self, is_known: impl Fn(u64) -> bool) {
        self.peers.retain(|&peer, _| is_known(peer));
    }

    /// Takes the tokens to grant to the peers for which `is_receiver` holds out of the bucket.
    pub fn grants(&mut self, now_ms: u64, is_receiver: impl Fn(u64) -> bool) -> Vec<(u64, u64)> {
        self.update(now_ms);
        let share = self.share();
        let live = |it: &PeerLevel| now_ms < it.received_ms + LEVEL_TTL_MS;
        let peers = self.peers.values().filter(|it| live(it));
        let (mut needed, mut offered, mut room) = (0, 0, 0);
        for peer in peers {
            needed += u128::from(peer.need());
            offered += u128::from(peer.level.min(share).saturating_sub(peer.target));
            room += u128::from(share.saturating_sub(peer.level));
        }
        let surplus = self.surplus();
        offered += u128::from(surplus);
        let given = u128::from(surplus) * needed.min(offered) / offered.max(1);
        let is_full = self.own >= share - share / OVERFLOW_DIVISOR;
        let overflow = if is_full && needed == 0 {
            u128::from(self.own / OVERFLOW_DIVISOR).min(room)
        } else {
            0
        };
        let mut grants = Vec::new();
        for (&peer, it) in &mut self.peers {
            if !it.is_new || !live(it) || !is_receiver(peer) {
                continue;
            }
            let peer_room = u128::from(share.saturating_sub(it.level));
            let part =
                given * u128::from(it.need()) / needed.max(1) + overflow * peer_room / room.max(1);
            let part = u64::try_from(part).unwrap_or(0).min(self.own);
            it.is_new = false;
            if part > 0 {
                self.own -= part;
                it.level += part;
                grants.push((peer, part));
            }
        }
        grants
    }

    /// Returns whether peers should hear of the level: it has changed, or this node needs tokens that a peer has.
    pub fn has_news(&self, now_ms: u64) -> bool {
        let differs = |now: u64, told: u64| now.abs_diff(told) > told / 4 + TOKEN / 4;
        let (level, target) = (self.level(), self.target());
        differs(level, self.told.0)
            || differs(target, self.told.1)
            || level < target && self.peer_has_surplus(now_ms)
    }

    fn peer_has_surplus(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|it| now_ms < it.received_ms + LEVEL_TTL_MS && it.level > it.target)
    }

    /// Returns what peers should know, without a grant; `is_told` if all peers hear of it.
    pub fn tell(&mut self, tenant: u64, is_told: bool) -> TenantLevel {
        let (level, target) = (self.level(), self.target());
        if is_told {
            self.told = (level, target);
        }
        TenantLevel {
            tenant,
            level,
            target,
            grant: 0,
        }
    }

    /// Returns how long ago the oldest level arrived that is still used, in ms; `None` if no peer's level is known.
    pub fn peer_age_ms(&self, now_ms: u64) -> Option<u64> {
        let ages = self.peers.values();
        ages.map(|it| now_ms.saturating_sub(it.received_ms)).max()
    }

    /// Returns the time until the tenant has a token at a node, and the time in which all that are asked for become
    /// available, in ms.
    pub fn retry_times_ms(&self, now_ms: u64) -> (u64, u64) {
        let peers = self.peers.values();
        let peers = peers.filter(|it| now_ms < it.received_ms + LEVEL_TTL_MS);
        let (mut demand, mut level) = (self.demand, self.level());
        for peer in peers {
            demand += peer.target;
            level += peer.level;
        }
        let rate = self.quota.per_1000_s.max(1);
        let missing = demand.saturating_sub(level);
        let token_ms = if level < TOKEN { TOKEN / rate } else { 0 };
        (token_ms, missing / rate)
    }
}
