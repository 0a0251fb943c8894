//! Estimates how slow each target is compared with the other targets of its service, from what requests observe.
//!
//! A target's estimate is a median over its latest observations of each kind, so that a slow phase that covers a few of them
//! does not move it. The medians are compared with the median over the targets of the service.

use std::collections::HashMap;

use eel_types::Name;
use slotmap::SecondaryMap;

use crate::TargetKey;

/// The number of observations of each kind that a median covers.
const MAX_SAMPLES: usize = 15;
/// The number of observations of a kind from which their median is used. With 15% of outliers, two or more of three are
/// outliers in 6% of all cases; with more, small nodes know the speeds after a minute only.
const MIN_SAMPLES: usize = 3;
/// The shortest time between two observations of a kind that count: a slow phase of 600 ms covers four of 15 at the most.
const MIN_SPACING_MS: u64 = 200;
/// How long an observation counts without a newer one. A node with the least load sends a target a request each 10 s.
const MAX_AGE_MS: u64 = 60_000;
/// The interval at which the targets of a service are compared. It bounds the cost for services with thousands of targets.
const COMPARE_INTERVAL_MS: u64 = 500;
/// The ratio of two estimates, in thousandths, up to which the targets of a service count as alike.
const MAX_ALIKE_PER_1000: u64 = 1_300;
/// The number of kinds of observations.
const KINDS: usize = 3;
const FIRST_EVENT: usize = 0;
const PACE: usize = 1;
const RUN_TIME: usize = 2;

/// What a request has observed of its target's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The time from sending the request to the first event of the stream, in µs.
    FirstEventUs(u64),
    /// The mean time between two events of a stream, in µs.
    PaceUs(u64),
    /// The time from sending a plain request to the end of its response, in µs.
    RunTimeUs(u64),
}

/// What is known of a target's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// The target's times as a ratio to the usual ones of its service, in thousandths; 1,000 if it is not known.
    pub slowness_per_1000: u64,
    /// The expected time to the first event, or to the end of a plain request, in ms; 0 if it is not known.
    pub first_ms: u64,
}

/// The speeds of all targets.
#[derive(Debug, Default)]
pub struct SpeedTable {
    targets: SecondaryMap<TargetKey, TargetSpeed>,
    services: HashMap<Name, ServiceSpeed>,
}

#[derive(Debug, Default)]
struct TargetSpeed {
    samples: [Samples; KINDS],
    /// As of the last comparison.
    speed: Speed,
    /// When the newest observation was made.
    at_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceSpeed {
    /// The latest observations at all targets.
    samples: [Samples; KINDS],
    /// Whether the targets are not alike.
    differs: bool,
    compared_ms: u64,
}

/// The latest observations of one kind at one target.
#[derive(Debug, Default)]
struct Samples {
    values_us: [u32; MAX_SAMPLES],
    len: usize,
    next: usize,
    at_ms: u64,
    /// 0 while there are fewer than [`MIN_SAMPLES`].
    median_us: u32,
}

impl Observation {
    fn parts(self) -> (usize, u64) {
        match self {
            Self::FirstEventUs(us) => (FIRST_EVENT, us),
            Self::PaceUs(us) => (PACE, us),
            Self::RunTimeUs(us) => (RUN_TIME, us),
        }
    }

    /// Returns whether the observation is the time until a request is answered, rather than the pace of an answer.
    #[must_use]
    pub fn is_first(self) -> bool {
        !matches!(self, Self::PaceUs(_))
    }
}

impl SpeedTable {
    /// Records an observation at `key`, one of the targets `keys` of `service`.
    pub fn observe(
        &mut self,
        now_ms: u64,
        service: &Name,
        keys: &[TargetKey],
        key: TargetKey,
        observation: Observation,
    ) {
        let (kind, us) = observation.parts();
        let Some(entry) = self.targets.entry(key) else {
            return;
        };
        let target = entry.or_default();
        target.samples[kind].push(now_ms, us);
        target.at_ms = now_ms;
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceSpeed::default());
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        known.samples[kind].push(now_ms, us);
        if now_ms >= known.compared_ms + COMPARE_INTERVAL_MS {
            known.compared_ms = now_ms;
            let differs = self.compare(now_ms, keys);
            if let Some(known) = self.services.get_mut(service) {
                known.differs = differs;
            }
        }
    }

    /// Forgets a target.
    pub fn remove(&mut self, key: TargetKey) {
        self.targets.remove(key);
    }

    /// Returns what is known of a target's speed; the default if nothing is, or nothing that is new enough.
    pub fn speed(&self, now_ms: u64, key: TargetKey) -> Speed {
        let target = self.targets.get(key);
        let fresh = target.filter(|it| now_ms < it.at_ms + MAX_AGE_MS);
        fresh.map_or_else(Speed::default, |it| it.speed)
    }

    /// Returns the ratio in thousandths of an observation to what the targets of the service usually take or to what this
    /// target usually takes, whichever is smaller; `None` if neither is known.
    pub fn ratio_per_1000(
        &self,
        now_ms: u64,
        service: &str,
        key: TargetKey,
        observation: Observation,
    ) -> Option<u64> {
        let (kind, us) = observation.parts();
        let own_us = self.median_us(now_ms, key, kind);
        let usual = self.services.get(service).map(|it| &it.samples[kind]);
        let usual_us = own_us.max(usual.and_then(|it| it.median_us(now_ms)))?;
        us.saturating_mul(1_000).checked_div(usual_us)
    }

    /// Returns whether targets of the service are not alike.
    pub fn differs(&self, now_ms: u64, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|it| it.differs && now_ms < it.compared_ms + MAX_AGE_MS)
    }

    /// Returns the median of the observations of one kind; `None` if there are too few, or none that is new enough.
    fn median_us(&self, now_ms: u64, key: TargetKey, kind: usize) -> Option<u64> {
        self.targets.get(key)?.samples[kind].median_us(now_ms)
    }

    /// Compares the targets of a service. Returns whether they differ.
    fn compare(&mut self, now_ms: u64, keys: &[TargetKey]) -> bool {
        let mut reference_us = [0; KINDS];
        for (kind, reference_us) in reference_us.iter_mut().enumerate() {
            let medians = keys
                .iter()
                .filter_map(|&key| self.median_us(now_ms, key, kind));
            *reference_us = median(&mut medians.collect::<Vec<_>>()).unwrap_or(0);
        }
        let slowness: Vec<(TargetKey, Option<u64>)> = keys
            .iter()
            .map(|&key| (key, self.slowness_per_1000(now_ms, key, &reference_us)))
            .collect();
        let fastest = slowness.iter().filter_map(|(_, it)| *it).min();
        let first_us = reference_us[FIRST_EVENT].max(reference_us[RUN_TIME]);
        let slowest = slowness.iter().filter_map(|(_, it)| *it).max();
        for (key, slowness) in slowness {
            let Some(target) = self.targets.get_mut(key) else {
                continue;
            };
            target.speed = slowness.map_or_else(Speed::default, |it| Speed {
                slowness_per_1000: it.max(1),
                first_ms: first_us.saturating_mul(it) / 1_000_000,
            });
        }
        let bound = fastest.map(|it| it.saturating_mul(MAX_ALIKE_PER_1000) / 1_000);
        slowest > bound
    }

    /// Returns the ratio of the target's times to the reference, in thousandths.
    ///
    /// For streams it is the smaller one of the ratios of the pace and of the time to the first event: waiting at a full
    /// target delays the first event, but does not change the pace.
    fn slowness_per_1000(
        &self,
        now_ms: u64,
        key: TargetKey,
        reference_us: &[u64; KINDS],
    ) -> Option<u64> {
        let ratio = |kind: usize| {
            let median_us = self.median_us(now_ms, key, kind)?;
            median_us
                .saturating_mul(1_000)
                .checked_div(reference_us[kind])
        };
        let pace = ratio(PACE).map(|it| it.min(ratio(FIRST_EVENT).unwrap_or(it)));
        pace.or_else(|| ratio(RUN_TIME))
    }
}

impl Samples {
    fn median_us(&self, now_ms: u64) -> Option<u64> {
        let is_known = self.median_us > 0 && now_ms < self.at_ms + MAX_AGE_MS;
        is_known.then_some(u64::from(self.median_us))
    }

    fn push(&mut self, now_ms: u64, us: u64) {
        if self.len > 0 && now_ms < self.at_ms + MIN_SPACING_MS {
            return;
        }
        if now_ms >= self.at_ms + MAX_AGE_MS {
            *self = Self::default();
        }
        self.values_us[self.next] = u32::try_from(us).unwrap_or(u32::MAX).max(1);
        self.next = (self.next + 1) % MAX_SAMPLES;
        self.len = (self.len + 1).min(MAX_SAMPLES);
        self.at_ms = now_ms;
        if self.len >= MIN_SAMPLES {
            let mut values = self.values_us;
            let median = median(&mut values[..self.len]);
            self.median_us = median.unwrap_or(0);
        }
    }
}

/// Returns the lower median; `None` if there are no values.
fn median<T: Ord + Copy>(values: &mut [T]) -> Option<T> {
    let middle = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable(middle).1)
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            slowness_per_1000: 1_000,
            first_ms: 0,
        }
    }
}
