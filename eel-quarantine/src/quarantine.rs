//! The parts that are blocked, and the notices to peers.

use std::collections::HashMap;

use crate::{
    Crash, Notice, Part, PartSet, Prompt, Scope, StoredBlock, TrialEnd,
    evidence::{Evidence, Record},
};

/// How long notices repeat a crash.
const CRASH_NOTICE_TTL_MS: u64 = 5_000;
/// How long notices repeat a completed response.
const COMPLETED_NOTICE_TTL_MS: u64 = 2_000;
/// How long notices repeat a block or its end, which the store holds as well.
const BLOCK_NOTICE_TTL_MS: u64 = 30_000;
/// How long a set that was lifted is not blocked again by a notice.
const LIFTED_TTL_MS: u64 = 60_000;
/// How long a node that has not seen the crashes waits for others to store a block.
const MIN_STORE_DELAY_MS: u64 = 2_000;
/// The number of sets that are blocked at the most.
const MAX_BLOCKED: usize = 64;

/// How to proceed with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Check {
    /// It may be sent to targets.
    Pass,
    /// It must not be sent to targets.
    Block,
    /// It must not be sent to targets unless the trial of all sets that block it is stored first.
    Trial(Vec<RecordUpdate>),
}

/// A change of the record of a blocked set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordUpdate {
    /// The record to write.
    pub record: StoredBlock,
    /// The revision at which the record must still be.
    pub revision: u64,
}

/// A part of known crashes with which this node has had a response that did not crash its target.
#[derive(Clone, Copy, Debug)]
struct Cleared {
    /// When the newest of these responses showed it.
    at_ms: u64,
    /// Since when peers are told.
    told_since_ms: u64,
}

#[derive(Debug)]
struct Blocked {
    parts: PartSet,
    since_ms: u64,
    /// Whether this node has seen one of the crashes.
    is_own: bool,
    stored: Option<(StoredBlock, u64)>,
    trial: Trial,
}

/// The trial of a blocked set at this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trial {
    #[default]
    None,
    Running,
    /// It has ended, which the record does not show yet.
    Ended(TrialEnd),
}

/// The crashes seen by this node and its peers, and the parts that are blocked because of them.
#[derive(Debug, Default)]
pub struct Quarantine {
    scope: Scope,
    evidence: Evidence,
    blocked: Vec<Blocked>,
    /// The responses with parts of known crashes at this node.
    cleared: HashMap<Part, Cleared>,
    /// The ids of sets that are no longer blocked, and since when.
    lifted: HashMap<u64, u64>,
    /// The ids of sets that this node has disproved and whose records it has to remove from the store.
    unremoved: Vec<u64>,
    /// Whether peers should get a notice at once.
    has_news: bool,
}

impl Quarantine {
    /// Creates a quarantine that blocks nothing.
    #[must_use]
    pub fn new(scope: Scope) -> Self {
        Self {
            scope,
            ..Self::default()
        }
    }

    /// Decides whether a request may be sent to targets.
    #[must_use]
    pub fn check(&self, now_unix_ms: u64, prompt: &Prompt) -> Check {
        let mut trials = Vec::new();
        for it in self.blocked_by(&prompt.parts) {
            match &it.stored {
                Some((record, revision)) if record.is_trial_due(now_unix_ms) => {
                    trials.push(RecordUpdate {
                        record: record.during_trial(now_unix_ms),
                        revision: *revision,
                    });
                }
                _ => return Check::Block,
            }
        }
        if trials.is_empty() {
            Check::Pass
        } else {
            Check::Trial(trials)
        }
    }

    /// Returns whether a request must not be sent to targets, whether or not a trial is due.
    #[must_use]
    pub fn blocks(&self, prompt: &Prompt) -> bool {
        self.blocked_by(&prompt.parts).next().is_some()
    }

    fn blocked_by<'a>(&'a self, parts: &'a [Part]) -> impl Iterator<Item = &'a Blocked> {
        let blocked = self.blocked.iter();
        blocked.filter(|it| it.parts.is_within(parts))
    }

    /// Returns whether no request is blocked: there are neither blocked sets nor known crashes.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.blocked.is_empty() && self.evidence.records().next().is_none()
    }

    /// Returns the number of sets that are blocked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocked.len()
    }

    /// Returns whether no set is blocked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocked.is_empty()
    }

    /// Records a crash that this node has seen. Returns the sets that are blocked because of it.
    pub fn on_crash(&mut self, now_ms: u64, crash: Crash) -> Vec<PartSet> {
        let blocked = self.blocked.iter_mut();
        let tried = blocked.filter(|it| it.trial != Trial::None);
        for it in tried.filter(|it| it.parts.is_within(&crash.prompt.parts)) {
            it.trial = Trial::Ended(TrialEnd::Failed);
        }
        self.add_crash(now_ms, now_ms, crash, true)
    }

    /// Records a response that was completed, or that has so many events that its request does not crash the target.
    /// Returns the sets that it disproves, which are no longer blocked.
    pub fn on_completed(&mut self, now_ms: u64, parts: &[Part]) -> Vec<PartSet> {
        for &part in parts {
            self.evidence.on_completed(now_ms, part);
            if self.evidence.is_suspect(part) {
                self.clear(now_ms, now_ms, part);
            }
        }
        let disproved: Vec<PartSet> = self
            .blocked
            .iter()
            .filter(|it| it.parts.is_within(parts))
            .map(|it| it.parts.clone())
            .collect();
        for set in &disproved {
            self.lift(now_ms, set.id());
            self.unremoved.push(set.id());
            self.has_news = true;
        }
        disproved
    }

    /// Applies the notice of a peer. Returns the sets that are blocked because of it.
    pub fn on_notice(&mut self, now_ms: u64, notice: Notice) -> Vec<PartSet> {
        for id in notice.lifted {
            if !self.lifted.contains_key(&id) {
                self.lift(now_ms, id);
            }
        }
        for (age_ms, part) in notice.completed {
            self.evidence
                .on_completed(now_ms.saturating_sub(age_ms), part);
        }
        let mut added = Vec::new();
        for (age_ms, crash) in notice.crashes {
            let at_ms = now_ms.saturating_sub(age_ms);
            self.answer_crash(now_ms, &crash);
            added.extend(self.add_crash(now_ms, at_ms, crash, false));
        }
        for set in notice.blocked {
            let is_lifted = self.lifted.contains_key(&set.id());
            if !is_lifted && self.block(now_ms, &set) {
                added.push(set);
            }
        }
        added
    }

    /// Returns the notice to send to peers now; it is empty if there is nothing recent.
    pub fn notice(&mut self, now_ms: u64) -> Notice {
        self.has_news = false;
        self.cleared
            .retain(|_, it| now_ms < it.told_since_ms + COMPLETED_NOTICE_TTL_MS);
        self.lifted
            .retain(|_, at_ms| now_ms < *at_ms + LIFTED_TTL_MS);
        let own = self.evidence.records().filter(|it| it.is_own).rev();
        let crashes = own
            .map(|it| (now_ms.saturating_sub(it.at_ms), it.crash.clone()))
            .take_while(|(age_ms, _)| *age_ms < CRASH_NOTICE_TTL_MS);
        let blocked = self.blocked.iter().rev();
        let blocked = blocked.filter(|it| now_ms < it.since_ms + BLOCK_NOTICE_TTL_MS);
        let lifted = self.lifted.iter();
        let lifted = lifted.filter(|(_, at_ms)| now_ms < **at_ms + BLOCK_NOTICE_TTL_MS);
        Notice {
            token: 0,
            scope: self.scope,
            crashes: crashes.collect(),
            completed: self
                .cleared
                .iter()
                .map(|(&part, it)| (now_ms.saturating_sub(it.at_ms), part))
                .collect(),
            blocked: blocked.map(|it| it.parts.clone()).collect(),
            lifted: lifted.map(|(&id, _)| id).collect(),
        }
    }

    /// Returns whether peers should get a notice at once.
    #[must_use]
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns the ids of disproved sets whose records this node has to remove from the store.
    #[must_use]
    pub fn unremoved(&self) -> Vec<u64> {
        self.unremoved.clone()
    }

    /// Records that the store has no record of a disproved set any more.
    pub fn on_record_removed(&mut self, id: u64) {
        self.unremoved.retain(|it| *it != id);
    }

    /// Returns the blocked sets that this node should write to the store.
    #[must_use]
    pub fn unstored(&self, now_ms: u64) -> Vec<PartSet> {
        let unstored = self.blocked.iter().filter(|it| {
            it.stored.is_none() && (it.is_own || now_ms >= it.since_ms + MIN_STORE_DELAY_MS)
        });
        unstored.map(|it| it.parts.clone()).collect()
    }

    /// Applies a record of the store, last written at `revision`. Returns whether its parts were not blocked before.
    pub fn on_stored(&mut self, now_ms: u64, record: &StoredBlock, revision: u64) -> bool {
        self.lifted.remove(&record.parts.id());
        let is_new = self.block(now_ms, &record.parts);
        let known = self.blocked.iter_mut();
        for known in known.filter(|it| it.parts == record.parts) {
            known.stored = Some((record.clone(), revision));
        }
        is_new
    }

    /// Records that this node has stored a trial and starts it.
    pub fn on_trial_started(&mut self, now_ms: u64, record: &StoredBlock, revision: u64) {
        self.on_stored(now_ms, record, revision);
        for known in &mut self.blocked {
            if known.parts == record.parts {
                known.trial = Trial::Running;
            }
        }
    }

    /// Records the end of this node's trial of the set `id`, unless a crash or a response has already ended it.
    pub fn on_trial_ended(&mut self, id: u64, end: TrialEnd) {
        let blocked = self.blocked.iter_mut();
        let tried = blocked.filter(|it| it.trial == Trial::Running);
        for it in tried.filter(|it| it.parts.id() == id) {
            it.trial = Trial::Ended(end);
        }
    }

    /// Returns the records to write because trials of this node have ended.
    #[must_use]
    pub fn ended_trials(&self, now_unix_ms: u64) -> Vec<RecordUpdate> {
        let ended = self
            .blocked
            .iter()
            .filter_map(|it| match (&it.stored, it.trial) {
                (Some((record, revision)), Trial::Ended(end)) => Some(RecordUpdate {
                    record: record.after_trial(now_unix_ms, end),
                    revision: *revision,
                }),
                _ => None,
            });
        ended.collect()
    }

    /// Records that the end of this node's trial of the set `id` is stored, or that its record was changed meanwhile.
    pub fn on_trial_end_stored(&mut self, id: u64) {
        let ended = self.blocked.iter_mut().filter(|it| it.parts.id() == id);
        ended.for_each(|it| it.trial = Trial::None);
    }

    /// Ceases to block the sets of which no request has come for so long that nothing will end the block. Returns them;
    /// their records have to be removed from the store.
    pub fn end_abandoned(&mut self, now_ms: u64, now_unix_ms: u64) -> Vec<PartSet> {
        let stored = self.blocked.iter().filter_map(|it| it.stored.as_ref());
        let abandoned = stored.filter(|(record, _)| record.is_abandoned(now_unix_ms));
        let abandoned: Vec<PartSet> = abandoned.map(|(record, _)| record.parts.clone()).collect();
        for set in &abandoned {
            self.lift(now_ms, set.id());
            self.unremoved.push(set.id());
        }
        abandoned
    }

    /// Applies the removal of a record from the store. Returns whether its parts were blocked.
    pub fn on_removed(&mut self, now_ms: u64, id: u64) -> bool {
        self.lift(now_ms, id)
    }

    /// Ceases to block the stored sets that are missing from `listed`, which holds the ids of all records. Returns whether
    /// there were any.
    pub fn retain_listed(&mut self, now_ms: u64, listed: &[u64]) -> bool {
        let missing: Vec<u64> = self
            .blocked
            .iter()
            .filter(|it| it.stored.is_some() && !listed.contains(&it.parts.id()))
            .map(|it| it.parts.id())
            .collect();
        for &id in &missing {
            self.lift(now_ms, id);
        }
        !missing.is_empty()
    }

    /// Tells peers of a part of known crashes with which a response went well at `at_ms`.
    fn clear(&mut self, now_ms: u64, at_ms: u64, part: Part) {
        let cleared = Cleared {
            at_ms,
            told_since_ms: now_ms,
        };
        self.has_news |= self.cleared.insert(part, cleared).is_none();
    }

    /// Tells the peer that has seen `crash`, unless the crash is known, with which of its parts responses went well here.
    fn answer_crash(&mut self, now_ms: u64, crash: &Crash) {
        if self.evidence.contains(crash) {
            return;
        }
        for &part in &crash.prompt.parts {
            if let Some(at_ms) = self.evidence.trusted_since_ms(now_ms, part) {
                self.clear(now_ms, at_ms, part);
            }
        }
    }

    fn add_crash(&mut self, now_ms: u64, at_ms: u64, crash: Crash, is_own: bool) -> Vec<PartSet> {
        let record = Record {
            crash,
            at_ms,
            is_own,
        };
        if self.evidence.add(now_ms, record) {
            self.judge(now_ms)
        } else {
            Vec::new()
        }
    }

    /// Blocks what the crashes so far blame. Call it as time passes. Returns the sets that are blocked from now on.
    pub fn judge(&mut self, now_ms: u64) -> Vec<PartSet> {
        let known = self.blocked.iter().map(|it| it.parts.clone());
        let mut blamed = self.evidence.blame(now_ms, self.scope, known);
        blamed.retain(|set| self.block(now_ms, set));
        blamed
    }

    /// Blocks a set. Returns `false` if it is blocked already or there are too many.
    fn block(&mut self, now_ms: u64, parts: &PartSet) -> bool {
        let is_known = self.blocked.iter().any(|it| it.parts == *parts);
        if is_known || parts.is_empty() || self.blocked.len() >= MAX_BLOCKED {
            return false;
        }
        self.blocked.push(Blocked {
            parts: parts.clone(),
            since_ms: now_ms,
            is_own: self.evidence.has_own(parts),
            stored: None,
            trial: Trial::None,
        });
        true
    }

    /// Ceases to block a set. Returns `false` if it was not blocked.
    fn lift(&mut self, now_ms: u64, id: u64) -> bool {
        self.lifted.insert(id, now_ms);
        let (lifted, blocked): (Vec<_>, Vec<_>) = std::mem::take(&mut self.blocked)
            .into_iter()
            .partition(|it| it.parts.id() == id);
        self.blocked = blocked;
        for set in &lifted {
            self.evidence.forget(&set.parts);
        }
        !lifted.is_empty()
    }
}
