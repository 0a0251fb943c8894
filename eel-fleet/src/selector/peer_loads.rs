//! Applies the load that peers report, and builds this node's own report.

use super::{TargetSelector, target::Load};
use crate::{
    TargetKey,
    report::{MAX_PART_BITS, PeerReport, REPORT_TTL_MS, TargetLoad, finest_part},
};

/// The interval at which expired reports are dropped. Loads that have expired do not count in any case.
const EXPIRY_INTERVAL_MS: u64 = 20;
/// How long the sequence numbers of a sender are kept after its last report; no datagram is on its way for that long.
const SENDER_TTL_MS: u64 = 60_000;

/// What a peer has reported so far.
pub(super) struct Sender {
    /// The sequence number of the last report on each of the finest parts.
    pub(super) sequences: [u64; 1 << MAX_PART_BITS],
    /// The targets at which the last reports count load.
    pub(super) loaded: Vec<TargetKey>,
    pub(super) at_ms: u64,
}

pub(super) struct PeerLoad {
    pub(super) peer: u64,
    pub(super) load: Load,
    pub(super) at_ms: u64,
}

impl TargetSelector {
    /// Returns how many other nodes sent a report recently.
    pub(super) fn live_senders(&self, now_ms: u64) -> usize {
        let live = self.senders.values();
        live.filter(|sender| now_ms < sender.at_ms + REPORT_TTL_MS)
            .count()
    }

    /// Applies a peer's report to the targets that it covers. Returns `false` if no part of it is newer than what was
    /// applied before.
    pub fn on_report(&mut self, now_ms: u64, report: &PeerReport) -> bool {
        let sender = self.senders.entry(report.sender).or_default();
        let mut is_newer = [false; 1 << MAX_PART_BITS];
        for part in report.part.finest() {
            is_newer[part] = report.sequence > sender.sequences[part];
            sender.sequences[part] = sender.sequences[part].max(report.sequence);
        }
        if !is_newer.contains(&true) {
            return false;
        }
        sender.at_ms = now_ms;
        let is_newer = |target: u64| is_newer[finest_part(target)];
        let mut loaded = std::mem::take(&mut sender.loaded);
        loaded.retain(|&key| {
            let Some(target) = self.targets.get_mut(key) else {
                return false;
            };
            let is_replaced = is_newer(target.hash);
            if is_replaced {
                target.peers.retain(|peer| peer.peer != report.sender);
                target.update_idle(now_ms);
            }
            !is_replaced
        });
        for load in report.targets.iter().filter(|it| is_newer(it.target)) {
            let Some(&key) = self.by_hash.get(&load.target) else {
                continue;
            };
            if let Some(target) = self.targets.get_mut(key) {
                target.peers.push(PeerLoad {
                    peer: report.sender,
                    load: Load {
                        online: load.online.into(),
                        batch: load.batch.into(),
                    },
                    at_ms: now_ms,
                });
                target.update_idle(now_ms);
                loaded.push(key);
            }
        }
        if let Some(sender) = self.senders.get_mut(&report.sender) {
            sender.loaded = loaded;
        }
        if now_ms >= self.expired_ms + EXPIRY_INTERVAL_MS {
            self.drop_old_reports(now_ms);
        }
        true
    }

    /// Drops the loads of peers whose last report has expired, and records the slots that become idle by that.
    pub fn drop_old_reports(&mut self, now_ms: u64) {
        self.expired_ms = now_ms;
        for target in self.targets.values_mut() {
            target.peers.retain(|peer| peer.is_live(now_ms));
            target.update_idle(now_ms);
        }
        self.end_untested(now_ms);
        self.senders
            .retain(|_, sender| now_ms < sender.at_ms + SENDER_TTL_MS);
    }

    /// Returns this node's load at each target where it has an attempt in flight.
    #[must_use]
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let busy = self
            .targets
            .values()
            .filter(|it| it.own.online + it.own.batch > 0);
        busy.map(|target| TargetLoad {
            target: target.hash,
            online: u16::try_from(target.own.online).unwrap_or(u16::MAX),
            batch: u16::try_from(target.own.batch).unwrap_or(u16::MAX),
        })
        .collect()
    }
}

impl Default for Sender {
    fn default() -> Self {
        Self {
            sequences: [0; 1 << MAX_PART_BITS],
            loaded: Vec::new(),
            at_ms: 0,
        }
    }
}

impl PeerLoad {
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms + REPORT_TTL_MS
    }
}
