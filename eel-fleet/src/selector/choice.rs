//! Ranks the targets of a service for one attempt.

use eel_types::Name;

use super::{TargetSelector, attempts::WorkKind, target::Target};
use crate::{TargetKey, limit::LimitTable, speed::Speed};

/// How many nodes there may be for each idle slot while online requests prefer idle slots.
const NODES_PER_IDLE_SLOT: usize = 4;
/// The number of random targets of which a request takes the one with the shortest expected delay. With two, slow targets
/// get more requests that are late there; with more, the fastest targets get more requests than they have slots.
const CHOICES: usize = 3;

/// What an attempt needs from its target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The kind of work.
    pub work: WorkKind,
    /// The preferred data centre.
    pub data_centre: &'a str,
    /// Targets that must not be chosen, because the request was sent to them before.
    pub excluded: &'a [TargetKey],
    /// The only version that may be chosen, because it began what the attempt continues; `None` if any may be chosen.
    pub version: Option<&'a Name>,
    /// Whether only targets that name a limit may be chosen, whose slots are of little use to other requests.
    pub only_limited: bool,
    /// The time left until the first event, or the end of a plain response, is late; `None` if it does not matter.
    pub left_ms: Option<u64>,
    /// Breaks ties between equally ranked targets; differs between requests, so that a target that fails gets few of them.
    pub tie_breaker: u64,
}

/// The slot that an attempt would take, the best one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SlotKind {
    Any,
    /// A slot at a target that limits the rate of requests.
    Limited,
    /// A slot whose batch item is cancelled for the request.
    UnderBatch,
}

/// The rank of a target for an attempt. Lower is better, and a field takes precedence over all fields after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_suspect: bool,
    /// Whether the target warms up and has as many attempts in flight as it may get.
    is_held: bool,
    slot: SlotKind,
    is_remote: bool,
    /// For online requests how full the target is of these, otherwise all attempts in flight.
    level: u32,
    /// Breaks ties between targets that are otherwise equal.
    tie: u64,
}

/// A target whose speed differs from that of others.
struct Candidate {
    rank: Rank,
    /// Whether the first event, or the end of a plain response, is expected too late for the goal.
    is_late: bool,
    /// The number of requests in flight, with the one to place, times the target's slowness.
    delay: u64,
    key: TargetKey,
}

impl Candidate {
    /// Returns what precedes chance.
    fn group(&self) -> (bool, bool, bool, SlotKind, bool) {
        let rank = &self.rank;
        (
            rank.is_suspect,
            rank.is_held,
            self.is_late,
            rank.slot,
            rank.is_remote,
        )
    }
}

/// Chooses the one with the shortest expected delay of the first [`CHOICES`] by group and then by chance.
///
/// The best of all would be the same one for all nodes until they know of one another's choice.
fn shortest_of_few(candidates: impl Iterator<Item = Candidate>) -> Option<TargetKey> {
    let mut first: [Option<Candidate>; CHOICES] = [const { None }; CHOICES];
    for candidate in candidates {
        let mut next = Some(candidate);
        for place in &mut first {
            let order = |it: &Option<Candidate>| it.as_ref().map(|it| (it.group(), it.rank.tie));
            if place.is_none() || order(&next) < order(place) {
                std::mem::swap(place, &mut next);
            }
            if next.is_none() {
                break;
            }
        }
    }
    let few = first.into_iter().flatten();
    few.min_by_key(|it| (it.group(), it.delay)).map(|it| it.key)
}

impl TargetSelector {
    /// Returns what is known of a target's speed.
    #[must_use]
    pub fn speed(&self, now_ms: u64, key: TargetKey) -> Speed {
        self.speeds.speed(now_ms, key)
    }

    /// Chooses the best target that has a slot for `query`; `None` if no target has one.
    #[must_use]
    pub fn choose(&self, now_ms: u64, service: &str, query: &TargetQuery<'_>) -> Option<TargetKey> {
        let keys = self.services.get(service)?;
        let open = keys
            .iter()
            .copied()
            .filter(|key| !query.excluded.contains(key));
        let avoids_batch = self.prefers_idle(now_ms, keys);
        let by_speed = self.placement.speed_aware
            && query.work == WorkKind::Online
            && self.speeds.differs(now_ms, service);
        let restricts = self.restricts(now_ms, keys, query);
        let nodes = u32::try_from(self.live_senders(now_ms) + 1).unwrap_or(u32::MAX);
        let ranked = open.filter_map(|key| {
            let target = self.targets.get(key)?;
            if !target.has_version(query.version) {
                return None;
            }
            let mut rank = target.rank(now_ms, query, avoids_batch, &self.limits)?;
            if restricts {
                rank.is_held = target.is_held(now_ms, nodes, rank.tie);
            }
            Some((rank, key))
        });
        if by_speed {
            let left_ms = query.left_ms.unwrap_or(u64::MAX);
            let candidates = ranked.filter_map(|(rank, key)| {
                let speed = self.speeds.speed(now_ms, key);
                let online = self.targets.get(key)?.total(now_ms).online;
                Some(Candidate {
                    rank,
                    is_late: speed.first_ms > left_ms,
                    delay: u64::from(online + 1) * speed.slowness_per_1000,
                    key,
                })
            });
            return shortest_of_few(candidates);
        }
        ranked.min_by_key(|&(rank, _)| rank).map(|(_, key)| key)
    }

    /// Returns whether online requests should go to idle slots rather than to those under batch items.
    ///
    /// If there are few, all nodes choose the same ones before they know of one another's choice, and the targets get
    /// more requests than they have slots.
    fn prefers_idle(&self, now_ms: u64, keys: &[TargetKey]) -> bool {
        let targets = keys.iter().filter_map(|&key| self.targets.get(key));
        let idle = targets.map(|target| target.idle_slots(now_ms, &self.limits) as usize);
        idle.sum::<usize>() > self.live_senders(now_ms) / NODES_PER_IDLE_SLOT
    }
}

impl Target {
    fn rank(
        &self,
        now_ms: u64,
        query: &TargetQuery<'_>,
        avoids_batch: bool,
        limits: &LimitTable,
    ) -> Option<Rank> {
        let is_limited = limits.limit(self.incarnation).is_some();
        let is_open = now_ms >= limits.opens_at_ms(self.incarnation);
        if !self.is_usable(now_ms) || !is_open || (query.only_limited && !is_limited) {
            return None;
        }
        let total = self.total(now_ms);
        let load = total.online + total.batch;
        let slot = if avoids_batch && load >= self.entry.slots {
            SlotKind::UnderBatch
        } else if is_limited && query.work == WorkKind::Online {
            SlotKind::Limited
        } else {
            SlotKind::Any
        };
        let has_room = match query.work {
            WorkKind::Online => total.online < self.entry.slots,
            WorkKind::Batch => self.may_start_batch(now_ms),
        };
        let is_remote = *self.entry.data_centre != *query.data_centre;
        let tie = self.hash.rotate_left(17) ^ query.tie_breaker.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let level = match query.work {
            WorkKind::Online => self.online_level(total.online),
            WorkKind::Batch => load,
        };
        has_room.then_some(Rank {
            is_suspect: self.health.is_suspect(now_ms),
            is_held: false,
            slot,
            is_remote,
            level,
            tie,
        })
    }

    /// Returns how full the target is of online requests: 0 for less than half of its slots, 1 for more, 2 if only one is
    /// left. A finer scale would send all nodes to the same least loaded target before they know of one another.
    fn online_level(&self, online: u32) -> u32 {
        if online + 1 >= self.entry.slots {
            2
        } else {
            u32::from(online >= self.entry.slots / 2)
        }
    }
}
