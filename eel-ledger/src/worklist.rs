//! The items that this node runs: which is next, how far each is, and results that are not listed yet.
//!
//! The load that this answers: batch fills what online requests leave, so items are broken off and resumed often. An
//! item keeps the text that it has, and goes on after the last event that came whole.

use std::collections::{BTreeMap, HashMap, HashSet};

use eel_store::{Compare, Op, Txn};
use eel_types::Name;

use crate::{Job, Ledger, ListedResult, ResultState};

/// The most chunks in one transaction: each takes a condition and a write of the 32 entries that the store allows.
const CHUNKS_PER_COMMIT: usize = 16;
/// The most bytes of text in one chunk: a value of the store holds 1 MiB.
const CHUNK_BYTES: usize = 512 * 1024;
/// How much later than its time an item is given up, in ms: the clocks of two nodes may differ by this much.
const GIVE_UP_SLACK_MS: u64 = 2_500;

/// An item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ItemRef {
    /// The job.
    pub job: Name,
    /// The item's index.
    pub item: u32,
}

/// How far an item is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The data of the events so far, separated by line feeds.
    pub text: String,
    /// The id of the last event in `text`.
    pub last_event: Option<u64>,
    /// The runs that failed.
    pub failures: u32,
}

/// What became of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The output is whole.
    Completed(Progress),
    /// The run was broken off; another one may go on.
    Interrupted(Progress),
    /// The target ran it and failed.
    Failed(Progress),
    /// The target says that it can never be done.
    Rejected,
}

/// The items that this node runs.
#[derive(Debug, Default)]
pub struct Worklist {
    running: HashSet<ItemRef>,
    progress: HashMap<ItemRef, Progress>,
    unlisted: BTreeMap<Name, BTreeMap<u32, ListedResult>>,
}

impl Worklist {
    /// Returns the next item of a job to run.
    #[must_use]
    pub fn next(&self, id: &Name, job: &Job) -> Option<ItemRef> {
        let indices = 0..u32::try_from(job.items().len()).unwrap_or(u32::MAX);
        let mut items = indices.map(|item| ItemRef {
            job: id.clone(),
            item,
        });
        items.find(|it| !job.is_listed(it.item) && self.is_free(it))
    }

    /// Marks an item as running and returns how far it is.
    pub fn start(&mut self, item: &ItemRef) -> Progress {
        self.running.insert(item.clone());
        self.progress.remove(item).unwrap_or_default()
    }

    /// Returns the items that were broken off, and how far they are.
    pub fn interrupted(&self) -> impl Iterator<Item = (&ItemRef, &Progress)> {
        self.progress.iter()
    }

    /// Takes in how a run ended.
    pub fn finish(&mut self, item: &ItemRef, max_attempts: u32, outcome: RunOutcome) {
        self.running.remove(item);
        match outcome {
            RunOutcome::Completed(progress) => {
                self.result(item, ResultState::Completed, progress.text);
            }
            RunOutcome::Interrupted(progress) => {
                self.progress.insert(item.clone(), progress);
            }
            RunOutcome::Failed(mut progress) => {
                progress.failures += 1;
                if progress.failures >= max_attempts {
                    self.result(item, ResultState::Errored, String::new());
                } else {
                    self.progress.insert(item.clone(), progress);
                }
            }
            RunOutcome::Rejected => self.result(item, ResultState::Errored, String::new()),
        }
    }

    /// Gives up items whose time has passed.
    pub fn give_up(&mut self, now_unix_ms: u64, ledger: &Ledger, is_mine: impl Fn(&str) -> bool) {
        for (id, job) in ledger.jobs().filter(|(_, job)| job.is_open()) {
            let is_over = job
                .head()
                .is_some_and(|head| now_unix_ms > head.give_up_unix_ms + GIVE_UP_SLACK_MS);
            if !is_over || !is_mine(id) {
                continue;
            }
            for item in 0..u32::try_from(job.items().len()).unwrap_or(u32::MAX) {
                let item = ItemRef {
                    job: id.clone(),
                    item,
                };
                if !job.is_listed(item.item) && self.is_free(&item) {
                    self.result(&item, ResultState::Errored, String::new());
                }
            }
        }
    }

    /// Forgets what the ledger has listed meanwhile, or what belongs to jobs that are not open any more.
    pub fn forget_listed(&mut self, ledger: &Ledger) {
        let is_open = |id: &str| ledger.job(id).is_some_and(Job::is_open);
        self.progress.retain(|it, _| is_open(&it.job));
        self.unlisted.retain(|id, results| {
            let Some(job) = ledger.job(id).filter(|job| job.is_open()) else {
                return false;
            };
            results.retain(|&item, _| !job.is_listed(item));
            !results.is_empty()
        });
    }

    /// Returns how many results are not listed yet.
    #[must_use]
    pub fn unlisted(&self) -> usize {
        self.unlisted.values().map(BTreeMap::len).sum()
    }

    /// Builds the transaction that lists results, a chunk in each write; `None` if there are none.
    ///
    /// The same chunk number is written once, so the transaction may be sent again when its answer is lost.
    #[must_use]
    pub fn commit(&self, ledger: &Ledger) -> Option<Txn> {
        let mut txn = Txn::default();
        for (id, results) in self.unlisted.iter().take(CHUNKS_PER_COMMIT) {
            let Some(job) = ledger.job(id) else {
                continue;
            };
            let mut bytes = 0;
            let fits = |result: &&ListedResult| {
                bytes += result.text.len();
                bytes <= CHUNK_BYTES || bytes == result.text.len()
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
