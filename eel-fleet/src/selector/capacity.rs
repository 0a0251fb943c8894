//! Sums up what the targets of a service can take.

use eel_types::Name;

use super::TargetSelector;

/// What the usable targets of a service can take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// The slots of the targets that name no limit.
    pub slots: u32,
    /// The number of targets that name a limit.
    pub limited_targets: u32,
    /// The sum of their limits, in requests per 1,000 s.
    pub limited_per_1000_s: u64,
    /// When this node may send a request to one of them; `None` if there are none.
    pub opens_at_ms: Option<u64>,
}

impl TargetSelector {
    /// Returns whether more than half of the slots of any service are in use.
    #[must_use]
    pub fn is_busy(&self, now_ms: u64) -> bool {
        self.services.values().any(|keys| {
            let targets = keys.iter().filter_map(|&key| self.targets.get(key));
            let (mut used, mut slots) = (0, 0);
            for target in targets.filter(|target| target.is_usable(now_ms)) {
                let total = target.total(now_ms);
                used += total.online + total.batch;
                slots += total.online + total.batch + target.idle_slots(now_ms, &self.limits);
            }
            used > slots / 2
        })
    }

    /// Returns what the usable targets of a service can take.
    #[must_use]
    pub fn capacity(&self, now_ms: u64, service: &str) -> Capacity {
        self.capacity_at(now_ms, service, None)
    }

    /// Like [`Self::capacity`] for the targets of one version, if it is given.
    #[must_use]
    pub fn capacity_at(&self, now_ms: u64, service: &str, version: Option<&Name>) -> Capacity {
        let keys = self.services.get(service).into_iter().flatten();
        let targets = keys.filter_map(|&key| self.targets.get(key));
        let targets = targets.filter(|it| it.has_version(version));
        let mut capacity = Capacity::default();
        for target in targets.filter(|it| it.is_usable(now_ms)) {
            match self.limits.limit(target.incarnation) {
                None => capacity.slots += target.entry.slots,
                Some(limit) => {
                    let opens_at_ms = self.limits.opens_at_ms(target.incarnation);
                    let earliest_ms = capacity.opens_at_ms.unwrap_or(u64::MAX);
                    capacity.limited_targets += 1;
                    capacity.limited_per_1000_s += limit.per_1000_s();
                    capacity.opens_at_ms = Some(earliest_ms.min(opens_at_ms));
                }
            }
        }
        capacity
    }
}
