//! One target with its load, as all nodes count it.

use eel_types::Name;

use super::{attempts::WorkKind, peer_loads::PeerLoad};
use crate::{TargetEntry, health::Health, limit::LimitTable, warm_up::WarmUp};

pub(super) struct Target {
    pub(super) entry: TargetEntry,
    pub(super) hash: u64,
    /// Hash of the target's incarnation.
    pub(super) incarnation: u64,
    pub(super) own: Load,
    pub(super) peers: Vec<PeerLoad>,
    pub(super) health: Health,
    /// When a slot became idle by all counts; `None` while all slots are in use.
    pub(super) idle_since_ms: Option<u64>,
    /// Whether the target has said that it is leaving.
    pub(super) is_leaving: bool,
    /// How many live nodes rank before this one for the target's idle slots.
    pub(super) batch_rank: u64,
    /// Whether an attempt of this node has had a response.
    pub(super) has_answered: bool,
    /// The limit of what the target gets; `None` unless it has just started or recovered.
    pub(super) warm_up: Option<WarmUp>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) online: u32,
    pub(super) batch: u32,
}

impl Target {
    /// Returns the number of idle slots that this node can use now.
    pub(super) fn idle_slots(&self, now_ms: u64, limits: &LimitTable) -> u32 {
        let total = self.total(now_ms);
        let idle = self.entry.slots.saturating_sub(total.online + total.batch);
        match limits.limit(self.incarnation) {
            None => idle,
            Some(_) => idle.min(u32::from(now_ms >= limits.opens_at_ms(self.incarnation))),
        }
    }

    pub(super) fn update_idle(&mut self, now_ms: u64) {
        let total = self.total(now_ms);
        let is_idle = total.online + total.batch < self.entry.slots;
        self.idle_since_ms = is_idle.then(|| self.idle_since_ms.unwrap_or(now_ms));
    }

    pub(super) fn is_usable(&self, now_ms: u64) -> bool {
        self.stays() && self.health.is_usable(now_ms)
    }

    /// Returns whether the target is not about to leave.
    pub(super) fn stays(&self) -> bool {
        !self.entry.is_draining && !self.is_leaving
    }

    /// Returns whether the target has `version`, if one is given. A target that announces none has no version of another.
    pub(super) fn has_version(&self, version: Option<&Name>) -> bool {
        version.is_none_or(|it| self.entry.version.as_ref() == Some(it))
    }

    pub(super) fn total(&self, now_ms: u64) -> Load {
        let mut total = self.own;
        for peer in self.live_peers(now_ms) {
            total.online += peer.load.online;
            total.batch += peer.load.batch;
        }
        total
    }

    pub(super) fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = &PeerLoad> {
        self.peers.iter().filter(move |peer| peer.is_live(now_ms))
    }
}

impl Load {
    pub(super) fn of(&mut self, work: WorkKind) -> &mut u32 {
        match work {
            WorkKind::Online => &mut self.online,
            WorkKind::Batch => &mut self.batch,
        }
    }
}
