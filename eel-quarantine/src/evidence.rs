//! The crashes and completed responses from which parts are blamed.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::{Crash, Part, PartSet, Scope};

/// How long a crash counts.
const CRASH_TTL_MS: u64 = 600_000;
/// The number of crashes that are kept; the oldest are dropped.
const MAX_CRASHES: usize = 256;
/// The number of crashes after which a part is blamed; one more for each target that ended meanwhile without the part.
const MIN_CRASHES: usize = 3;
/// The same for a part of responses that were completed shortly before, and the maximum.
const MIN_CRASHES_OF_TRUSTED: usize = 8;
/// How long before a crash a completed response still speaks for its parts.
const TRUST_TTL_MS: u64 = 60_000;
/// The number of crashes from which on several requests that explain them equally well are all blamed. Fewer may tell them
/// apart later.
const MIN_CRASHES_OF_EQUALS: usize = 5;
/// How long a crash counts for no request yet, in ms: the time in which the nodes hear of the other requests that were
/// broken off by it.
const SETTLE_TIME_MS: u64 = 200;
/// The number of different requests that must have crashed targets.
const MIN_REQUESTS: usize = 2;
/// The time between crashes that count apart. Targets that end at once have another cause than their requests.
const MIN_SPACING_MS: u64 = 50;
/// The number of parts with completed responses that are remembered, twice at the most.
const MAX_COMPLETED_PARTS: usize = 2_048;

/// A crash, and when it was seen.
#[derive(Clone, Debug)]
pub struct Record {
    pub crash: Crash,
    pub at_ms: u64,
    /// Whether this node has seen it.
    pub is_own: bool,
}

#[derive(Debug, Default)]
pub struct Evidence {
    records: VecDeque<Record>,
    /// When a response with a part was last completed; the newest parts, and those before them.
    completed: [HashMap<Part, u64>; 2],
}

impl Evidence {
    /// Adds a crash. Returns `false` if it is known.
    pub fn add(&mut self, now_ms: u64, record: Record) -> bool {
        self.records.retain(|it| now_ms < it.at_ms + CRASH_TTL_MS);
        if self.contains(&record.crash) {
            return false;
        }
        if self.records.len() >= MAX_CRASHES {
            self.records.pop_front();
        }
        self.records.push_back(record);
        true
    }

    /// Returns whether a crash is known.
    pub fn contains(&self, crash: &Crash) -> bool {
        self.records.iter().any(|it| it.crash == *crash)
    }

    /// Returns when a response with `part` was last completed; `None` if it no longer speaks for the part.
    pub fn trusted_since_ms(&self, now_ms: u64, part: Part) -> Option<u64> {
        let completed_ms = self.completed_ms(part);
        completed_ms.filter(|at_ms| now_ms < at_ms + TRUST_TTL_MS)
    }

    /// Records that a response with `part` was completed or has gone on beyond its first events.
    pub fn on_completed(&mut self, at_ms: u64, part: Part) {
        if self.completed[0].len() >= MAX_COMPLETED_PARTS {
            self.completed[1] = std::mem::take(&mut self.completed[0]);
        }
        let known_ms = self.completed_ms(part).unwrap_or(0);
        self.completed[0].insert(part, at_ms.max(known_ms));
    }

    /// Returns whether a crash with `part` is known.
    pub fn is_suspect(&self, part: Part) -> bool {
        let mut records = self.records.iter();
        records.any(|it| it.crash.prompt.parts.contains(&part))
    }

    pub fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.records.iter()
    }

    /// Returns whether this node has seen a crash that `parts` explains.
    pub fn has_own(&self, parts: &PartSet) -> bool {
        let mut records = self.records.iter();
        records.any(|it| it.is_own && parts.is_within(&it.crash.prompt.parts))
    }

    /// Forgets the crashes that `parts` explains.
    pub fn forget(&mut self, parts: &PartSet) {
        self.records
            .retain(|it| !parts.is_within(&it.crash.prompt.parts));
    }

    /// Returns the parts that explain crashes which the sets `known` do not.
    pub fn blame(
        &self,
        now_ms: u64,
        scope: Scope,
        known: impl Iterator<Item = PartSet>,
    ) -> Vec<PartSet> {
        let mut sets: Vec<PartSet> = known.collect();
        let known_count = sets.len();
        loop {
            let blamed = self.next_blamed(now_ms, scope, &sets);
            if blamed.is_empty() {
                return sets.split_off(known_count);
            }
            sets.extend(blamed);
        }
    }

    /// Returns the largest set of parts that explains enough crashes: the more parts it has, the fewer other requests it
    /// blocks. Of equally large ones, it returns the one that explains the most, and of requests that explain the same,
    /// none or all.
    fn next_blamed(&self, now_ms: u64, scope: Scope, known: &[PartSet]) -> Vec<PartSet> {
        let is_explained = |record: &&Record| {
            known
                .iter()
                .any(|it| it.is_within(&record.crash.prompt.parts))
        };
        let ended: HashSet<u64> = self
            .records
            .iter()
            .filter(is_explained)
            .map(|it| it.crash.target)
            .collect();
        let settle_time_ms = match scope {
            Scope::Parts => 0,
            Scope::Requests => SETTLE_TIME_MS,
        };
        let counted_ms = settle_time_ms..CRASH_TTL_MS;
        let mut by_part: HashMap<Part, Vec<&Record>> = HashMap::new();
        for record in &self.records {
            let is_counted = counted_ms.contains(&now_ms.saturating_sub(record.at_ms));
            if ended.contains(&record.crash.target) || !is_counted {
                continue;
            }
            for &part in &record.crash.prompt.parts {
                if self
                    .completed_ms(part)
                    .is_none_or(|at_ms| at_ms < record.at_ms)
                {
                    by_part.entry(part).or_default().push(record);
                }
            }
        }
        let unexplained = match scope {
            Scope::Parts => self.recent_targets(now_ms, &ended),
            Scope::Requests => HashSet::new(),
        };
        let sets = by_part
            .into_iter()
            .filter_map(|(part, records)| self.common_parts(part, records, &unexplained));
        let mut sets: Vec<(PartSet, usize)> = sets.collect();
        sets.sort_by(|(a, a_crashes), (b, b_crashes)| {
            let size = b.len().cmp(&a.len());
            size.then(b_crashes.cmp(a_crashes)).then_with(|| a.cmp(b))
        });
        let Some(most) = sets.first().map(|&(_, crashes)| crashes) else {
            return Vec::new();
        };
        let equals = match scope {
            Scope::Parts => 1,
            // A sound request may have been broken off beside the guilty one each time.
            Scope::Requests => sets.iter().take_while(|(_, it)| *it == most).count(),
        };
        if equals > 1 && most < MIN_CRASHES_OF_EQUALS {
            return Vec::new();
        }
        sets.truncate(equals);
        sets.into_iter().map(|(set, _)| set).collect()
    }

    /// Returns the targets that ended lately, without those in `explained`.
    fn recent_targets(&self, now_ms: u64, explained: &HashSet<u64>) -> HashSet<u64> {
        let recent = self
            .records
            .iter()
            .filter(|it| now_ms < it.at_ms + TRUST_TTL_MS);
        let targets = recent.map(|it| it.crash.target);
        targets.filter(|it| !explained.contains(it)).collect()
    }

    /// Returns the parts that all of `records`, the crashes with `part`, have in common, and the number of these crashes;
    /// `None` if they are too few. The more of the `unexplained` targets ended without the part, the more it takes, as
    /// targets then end for other reasons as well.
    fn common_parts(
        &self,
        part: Part,
        mut records: Vec<&Record>,
        unexplained: &HashSet<u64>,
    ) -> Option<(PartSet, usize)> {
        records.sort_by_key(|it| it.at_ms);
        let first = records.first()?;
        let trusted_until_ms = self.completed_ms(part).map(|at_ms| at_ms + TRUST_TTL_MS);
        let is_trusted = trusted_until_ms.is_some_and(|until_ms| first.at_ms < until_ms);
        let explained: HashSet<u64> = records.iter().map(|it| it.crash.target).collect();
        let needed = if is_trusted {
            MIN_CRASHES_OF_TRUSTED
        } else {
            let others = unexplained.difference(&explained).count();
            (MIN_CRASHES + others).min(MIN_CRASHES_OF_TRUSTED)
        };
        let requests: HashSet<u64> = records.iter().map(|it| it.crash.prompt.request).collect();
        let crashes = spaced_crashes(&records);
        if requests.len() < MIN_REQUESTS || crashes < needed {
            return None;
        }
        let mut common = PartSet::new(first.crash.prompt.parts.clone());
        for record in &records {
            common.retain(&record.crash.prompt.parts);
        }
        Some((common, crashes))
    }

    fn completed_ms(&self, part: Part) -> Option<u64> {
        let mut maps = self.completed.iter();
        maps.find_map(|completed| completed.get(&part)).copied()
    }
}

/// Counts the different targets of `records`, which are in order of time, that did not end at the same moment. Attempts of
/// one request follow one another in any case.
fn spaced_crashes(records: &[&Record]) -> usize {
    let mut targets = HashSet::new();
    let mut last: Option<&Record> = None;
    for record in records {
        let is_apart = last.is_none_or(|last| {
            record.at_ms >= last.at_ms + MIN_SPACING_MS
                || record.crash.prompt.request == last.crash.prompt.request
        });
        if is_apart && targets.insert(record.crash.target) {
            last = Some(record);
        }
    }
    targets.len()
}
