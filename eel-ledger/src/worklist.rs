//! Tracks the items that this node runs: the next item, the progress of each, and results that are not listed yet.
//!
//! Batch items use the capacity that online requests leave idle, so they are interrupted and resumed often. An item
//! keeps its text and resumes after its last complete event.

use std::collections::{BTreeMap, HashMap, HashSet};

use eel_store::{Compare, Op, Txn};
use eel_types::Name;

use crate::{Claim, Doubts, Item, Job, JobHead, Ledger, ListedResult, ResultState, cause_to_end};

/// The maximum number of chunks in one transaction: each takes a condition and a write of the 32 entries allowed.
const MAX_CHUNKS_PER_COMMIT: usize = 16;
/// The maximum size of the text in one chunk, unless it is a single result: a value of the store holds 1 MiB.
const MAX_CHUNK_BYTES: usize = 512 * 1024;
/// The maximum size of an item's text: a value of the store, which holds 1 MiB, takes one with its frame.
pub const MAX_TEXT_BYTES: usize = 960 * 1024;
/// A monotonic clock that the system corrects gains at most one part in this many.
const MAX_CLOCK_GAIN: u64 = 1_000;

/// Identifies an item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ItemRef {
    /// The id of the job.
    pub job: Name,
    /// The index of the item in the job.
    pub item: u32,
}

/// The progress of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The data of all events so far, separated by line feeds.
    pub text: String,
    /// The id of the last event in `text`; `None` if there is no event.
    pub last_event: Option<u64>,
    /// The version of the targets that sent the events; `None` if there is no event, or if it is not known.
    pub version: Option<Name>,
    /// The number of failed runs, without those whose failure is doubtful.
    pub failures: u32,
    /// The number of runs since the last event that were interrupted because their target was silent.
    pub silences: u32,
    /// Whether anything follows the last event, as far as that is known.
    pub end: TextEnd,
    /// The number of runs since the last event that did not show whether the text is whole.
    pub unsettled_runs: u32,
}

impl Progress {
    /// Returns whether a target of `version` may continue the text: it has no event yet, or those of this version.
    #[must_use]
    pub fn continues_at(&self, version: Option<&Name>) -> bool {
        self.last_event.is_none() || (version.is_some() && self.version.as_ref() == version)
    }

    /// Returns the outcome of a run that was interrupted, or did not show whether anything follows the text.
    ///
    /// After [`MAX_UNSETTLED_RUNS`] of the latter, a text whose end is likely is complete, and one whose end is possible is run
    /// from its start.
    #[must_use]
    pub fn unsettled(mut self) -> RunOutcome {
        if self.end == TextEnd::Open {
            return RunOutcome::Interrupted(self);
        }
        self.unsettled_runs += 1;
        match self.end {
            _ if self.unsettled_runs < MAX_UNSETTLED_RUNS => RunOutcome::Interrupted(self),
            TextEnd::Likely => RunOutcome::Completed(self),
            TextEnd::Open | TextEnd::Possible => RunOutcome::Discarded(self),
        }
    }

    /// Returns the progress of the item if it is run again from its start.
    #[must_use]
    pub fn from_start(self) -> Self {
        Self {
            failures: self.failures,
            silences: self.silences,
            ..Self::default()
        }
    }
}

/// What is known of the end of an item's text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum TextEnd {
    /// More follows: the last run was interrupted.
    #[default]
    Open,
    /// Nothing may follow, as a response has ended after the last event, or as a run of another node has brought it. A target
    /// may reject a request for what follows such a text.
    Possible,
    /// A target that outlived its response has ended it after the last event, or one has ended a response without an event there.
    Likely,
}

/// The number of runs in a row after which a text is not asked after any more, because they neither brought an event nor showed
/// that there is none.
pub const MAX_UNSETTLED_RUNS: u32 = 3;

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The output is complete.
    Completed(Progress),
    /// The run was interrupted; another run may resume it.
    Interrupted(Progress),
    /// The text of the run cannot be the item's; another run starts again.
    Discarded(Progress),
    /// The target ran the item and failed.
    Failed(Progress),
    /// A response that is incomplete, or not proven to be the target's or to speak of the item, says why the run has no output.
    Doubtful(Progress, Claim),
    /// The target rejected the item as one that can never succeed.
    Rejected,
    /// No request can be made of the item.
    Unsendable,
}

impl RunOutcome {
    /// Returns the outcome of a run whose target says `claim` of it.
    #[must_use]
    pub fn claimed(progress: Progress, claim: Claim) -> Self {
        match (progress.end, claim) {
            (TextEnd::Open, Claim::Failed) => Self::Failed(progress),
            (TextEnd::Open, Claim::Rejected) => Self::Rejected,
            (TextEnd::Possible | TextEnd::Likely, _) => Self::doubtful(progress, claim),
        }
    }

    /// Does as [`Self::claimed`] for a response that is incomplete, or not proven to be the target's.
    ///
    /// If nothing may follow the text, the target may speak of that, and not of the item. The item is run from its start then,
    /// which decides, unless the end is likely.
    #[must_use]
    pub fn doubtful(progress: Progress, claim: Claim) -> Self {
        match progress.end {
            TextEnd::Open => Self::Doubtful(progress, claim),
            TextEnd::Possible => Self::Doubtful(progress.from_start(), claim),
            TextEnd::Likely => progress.unsettled(),
        }
    }

    /// Returns the outcome of a run whose target neither runs the item nor says why it has no output.
    #[must_use]
    pub fn not_continued(progress: Progress) -> Self {
        match progress.end {
            TextEnd::Possible => Self::Discarded(progress),
            TextEnd::Open | TextEnd::Likely => progress.unsettled(),
        }
    }
}

/// Why an item has no output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCause {
    /// A target rejected it.
    Rejected,
    /// It failed as often as its route allows.
    Failures,
    /// Its give-up time has passed.
    GiveUpTime,
    /// No route leads to it any more.
    RouteEnded,
    /// No request can be made of it.
    Unsendable,
}

impl ErrorCause {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Failures => "failures",
            Self::GiveUpTime => "give_up_time",
            Self::RouteEnded => "route_ended",
            Self::Unsendable => "unsendable",
        }
    }
}

/// The running and interrupted items of this node, and its results that are not listed yet.
///
/// The age of a job counts from when this node first saw it, on the node's monotonic clock: the clock of the node that
/// accepted it may be wrong. After a restart the age counts anew, so items are given up late but never early.
#[derive(Debug, Default)]
pub struct Worklist {
    /// When this node first saw each open job, in ms on its monotonic clock.
    seen_ms: HashMap<Name, u64>,
    running: HashSet<ItemRef>,
    progress: HashMap<ItemRef, Progress>,
    doubts: HashMap<ItemRef, Doubts>,
    unlisted: BTreeMap<Name, BTreeMap<u32, ListedResult>>,
}

impl Worklist {
    /// Records when this node first saw the open jobs, whichever node owns them.
    pub fn observe(&mut self, now_ms: u64, ledger: &Ledger) {
        for (id, _) in ledger.jobs().filter(|(_, job)| job.is_open()) {
            if !self.seen_ms.contains_key(id) {
                self.seen_ms.insert(id.clone(), now_ms);
            }
        }
    }

    /// Returns how long items of the job `id` may still run, in ms; 0 once their give-up time has passed.
    #[must_use]
    pub fn left_ms(&self, now_ms: u64, id: &Name, head: &JobHead) -> u64 {
        let seen_ms = self.seen_ms.get(id).copied().unwrap_or(now_ms);
        let give_up_ms = head.give_up_ms();
        give_up_ms
            .saturating_add(give_up_ms.div_ceil(MAX_CLOCK_GAIN))
            .saturating_sub(now_ms.saturating_sub(seen_ms))
    }

    /// Returns the item `index` of the job `id`, if it has no result and is not running.
    #[must_use]
    pub fn waiting<'a>(&self, id: &Name, job: &'a Job, index: u32) -> Option<(ItemRef, &'a Item)> {
        let entry = job.items().get(index as usize)?;
        let item = ItemRef {
            job: id.clone(),
            item: index,
        };
        self.is_waiting(job, &item).then_some((item, entry))
    }

    /// Returns whether an item of `job` has no result and is not running.
    #[must_use]
    pub fn is_waiting(&self, job: &Job, item: &ItemRef) -> bool {
        !job.is_listed(item.item) && self.is_free(item)
    }

    /// Marks an item as running and returns its progress.
    pub fn start(&mut self, item: &ItemRef) -> Progress {
        self.running.insert(item.clone());
        self.progress.remove(item).unwrap_or_default()
    }

    /// Returns the progress of an item that waits for another run after an earlier one at this node.
    #[must_use]
    pub fn progress(&self, item: &ItemRef) -> Option<&Progress> {
        self.progress.get(item)
    }

    /// Returns the items that wait for another run after an earlier one at this node, with their progress.
    pub fn interrupted(&self) -> impl Iterator<Item = (&ItemRef, &Progress)> {
        self.progress.iter()
    }

    /// Drops the text of an item that waits for another run, which starts again.
    pub fn discard(&mut self, item: &ItemRef) {
        if let Some(progress) = self.progress.get_mut(item) {
            *progress = std::mem::take(progress).from_start();
        }
    }

    /// Records how a run of `item` ended. An item that failed as often as [`cause_to_end`] allows is given up.
    ///
    /// Returns why the item has no output; `None` if it has one or may run again.
    pub fn finish(
        &mut self,
        item: &ItemRef,
        max_attempts: u32,
        outcome: RunOutcome,
    ) -> Option<ErrorCause> {
        self.running.remove(item);
        let cause = match outcome {
            RunOutcome::Completed(progress) => {
                self.result(item, ResultState::Completed, progress.text);
                None
            }
            RunOutcome::Failed(mut progress) => {
                progress.failures += 1;
                self.cause_to_end(item, max_attempts, progress)
            }
            RunOutcome::Doubtful(progress, claim) => {
                let doubts = self.doubts.entry(item.clone()).or_default();
                *doubts = doubts.with(claim);
                self.cause_to_end(item, max_attempts, progress)
            }
            RunOutcome::Interrupted(progress) => {
                self.progress.insert(item.clone(), progress);
                None
            }
            RunOutcome::Discarded(progress) => {
                self.progress.insert(item.clone(), progress.from_start());
                None
            }
            RunOutcome::Rejected => Some(ErrorCause::Rejected),
            RunOutcome::Unsendable => Some(ErrorCause::Unsendable),
        };
        if cause.is_some() {
            self.result(item, ResultState::Errored, String::new());
        }
        cause
    }

    /// Returns why `item` is given up after another failed run; `None` keeps its progress for the next one.
    fn cause_to_end(
        &mut self,
        item: &ItemRef,
        max_attempts: u32,
        progress: Progress,
    ) -> Option<ErrorCause> {
        let doubts = self.doubts.get(item).copied().unwrap_or_default();
        let cause = cause_to_end(progress.failures, doubts, max_attempts);
        if cause.is_none() {
            self.progress.insert(item.clone(), progress);
        }
        cause
    }

    /// Gives up idle items whose give-up time has passed, in the open jobs for which `is_mine` returns `true`; returns them.
    pub fn give_up(
        &mut self,
        now_ms: u64,
        ledger: &Ledger,
        is_mine: impl Fn(&str) -> bool,
    ) -> Vec<ItemRef> {
        let mut given_up = Vec::new();
        for (id, job) in ledger.jobs().filter(|(_, job)| job.is_open()) {
            let is_over = job
                .head()
                .is_some_and(|head| self.left_ms(now_ms, id, head) == 0);
            if !is_over || !is_mine(id) {
                continue;
            }
            for item in 0..u32::try_from(job.items().len()).unwrap_or(u32::MAX) {
                let item = ItemRef {
                    job: id.clone(),
                    item,
                };
                if self.is_waiting(job, &item) {
                    self.abandon(&item);
                    given_up.push(item);
                }
            }
        }
        given_up
    }

    /// Ends an item that waits without output, and drops its text.
    pub fn abandon(&mut self, item: &ItemRef) {
        self.progress.remove(item);
        self.result(item, ResultState::Errored, String::new());
    }

    /// Removes results that the ledger lists, and everything that belongs to jobs that are no longer open.
    pub fn forget_listed(&mut self, ledger: &Ledger) {
        let is_open = |id: &str| ledger.job(id).is_some_and(Job::is_open);
        self.seen_ms.retain(|id, _| is_open(id));
        self.progress.retain(|it, _| is_open(&it.job));
        self.doubts.retain(|it, _| is_open(&it.job));
        self.unlisted.retain(|id, results| {
            let Some(job) = ledger.job(id).filter(|job| job.is_open()) else {
                return false;
            };
            results.retain(|&item, _| !job.is_listed(item));
            !results.is_empty()
        });
    }

    /// Returns the number of results that are not listed yet.
    #[must_use]
    pub fn unlisted(&self) -> usize {
        self.unlisted.values().map(BTreeMap::len).sum()
    }

    /// Returns whether a result that is not listed yet belongs to a job that is due at `until_unix_ms` or earlier.
    #[must_use]
    pub fn has_due(&self, until_unix_ms: u64, ledger: &Ledger) -> bool {
        let heads = self.unlisted.keys().filter_map(|id| ledger.job(id)?.head());
        heads
            .map(|head| head.due_unix_ms)
            .any(|due| due <= until_unix_ms)
    }

    /// Builds the transaction that lists results, one chunk per job; `None` if there are none.
    ///
    /// A chunk number is written only once, so the transaction may be sent again when its response is lost.
    #[must_use]
    pub fn commit(&self, ledger: &Ledger) -> Option<Txn> {
        let mut txn = Txn::default();
        for (id, results) in self.unlisted.iter().take(MAX_CHUNKS_PER_COMMIT) {
            let Some(job) = ledger.job(id) else {
                continue;
            };
            let mut bytes = 0;
            let fits = |result: &&ListedResult| {
                bytes += result.text.len();
                bytes <= MAX_CHUNK_BYTES || bytes == result.text.len()
            };
            let chunk: Vec<&ListedResult> = results.values().take_while(fits).collect();
            let Ok(value) = postcard::to_stdvec(&chunk) else {
                continue;
            };
            let key = ledger.keys().chunk(id, job.next_chunk());
            txn.compares.push(Compare::Absent { key: key.clone() });
            txn.success.push(Op::put(key, value));
        }
        (!txn.success.is_empty()).then_some(txn)
    }

    fn is_free(&self, item: &ItemRef) -> bool {
        let is_unlisted = self
            .unlisted
            .get(&item.job)
            .is_some_and(|it| it.contains_key(&item.item));
        !self.running.contains(item) && !is_unlisted
    }

    fn result(&mut self, item: &ItemRef, state: ResultState, text: String) {
        let result = ListedResult {
            item: item.item,
            state,
            text,
        };
        self.unlisted
            .entry(item.job.clone())
            .or_default()
            .insert(item.item, result);
    }
}
