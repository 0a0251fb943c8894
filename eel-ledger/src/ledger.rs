//! The jobs that a node has read from the store.

use std::collections::HashMap;

use bytes::Bytes;
use eel_types::Name;

use crate::{
    Job, JobKey, Keys,
    entry::{JobHead, ListedResult},
};

/// How long before a call's arrival another node may have shown a result that the response to the call may lack, in ms:
/// less than the second after which callers rely on a result that they have read.
const MAX_AGE_MS: u64 = 900;

/// The jobs that a node has read from the store, by id.
///
/// Callers read a job's results at any node, so a result that one node has shown must not be missing at another. The
/// ledger therefore knows up to which time it has all changes. It takes no account of what peers report: a watch that
/// went silent looks like a watch without changes, and so do peers whose reports are lost.
#[derive(Debug)]
pub struct Ledger {
    keys: Keys,
    jobs: HashMap<Name, Job>,
    undecoded: u64,
    /// The number of times that changes may have been missed.
    gaps: u64,
    /// Whether the jobs in the ledger may lack changes, because they have not been read again since the last gap.
    has_gap: bool,
    /// The time before which all changes to the jobs in the ledger are known; `None` after a gap.
    complete_as_of_ms: Option<u64>,
}

/// The state of the ledger before a job was read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadMark {
    gaps: u64,
}

impl Ledger {
    /// Creates an empty ledger for the jobs under `keys`.
    #[must_use]
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            jobs: HashMap::new(),
            undecoded: 0,
            gaps: 0,
            has_gap: false,
            complete_as_of_ms: None,
        }
    }

    /// Returns the builder of the store keys of jobs.
    #[must_use]
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Returns the job `id`; `None` if no key of it was read.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns all jobs in no particular order, including ended and partly read ones.
    pub fn jobs(&self) -> impl Iterator<Item = (&Name, &Job)> {
        self.jobs.iter()
    }

    /// Returns the number of heads and chunks that could not be decoded since the start.
    #[must_use]
    pub fn undecoded(&self) -> u64 {
        self.undecoded
    }

    /// Applies a put of the store. Returns the id of the job if the key belongs to one.
    pub fn on_put(&mut self, key: &str, value: &Bytes) -> Option<Name> {
        let parsed = self.keys.parse(key)?;
        let (JobKey::Head(id) | JobKey::Part(id, _) | JobKey::Chunk(id, _) | JobKey::End(id)) =
            parsed;
        let id = Name::from(id);
        let job = self.jobs.entry(id.clone()).or_default();
        let is_decoded = match parsed {
            JobKey::Head(_) => JobHead::decode(value)
                .map(|head| job.set_head(head))
                .is_ok(),
            JobKey::Chunk(_, number) => {
                let results = postcard::from_bytes::<Vec<ListedResult>>(value);
                results
                    .map(|results| job.set_chunk(number, results))
                    .is_ok()
            }
            JobKey::Part(_, number) => {
                job.set_part(number, value.clone());
                true
            }
            JobKey::End(_) => {
                job.set_ended();
                true
            }
        };
        self.undecoded += u64::from(!is_decoded);
        Some(id)
    }

    /// Records that changes may have been missed up to now. Jobs that are being read from the store are read again.
    pub fn on_gap(&mut self) {
        self.gaps += 1;
        self.has_gap = true;
        self.complete_as_of_ms = None;
    }

    /// Removes all jobs after a gap, so that each is read from the store when a call needs it.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.has_gap = false;
    }

    /// Records that all jobs have been read again after a gap.
    pub fn on_all_read(&mut self) {
        self.has_gap = false;
    }

    /// Records that all changes between the last gap and `as_of_ms` have been applied.
    pub fn on_complete(&mut self, as_of_ms: u64) {
        if !self.has_gap {
            self.complete_as_of_ms = self.complete_as_of_ms.max(Some(as_of_ms));
        }
    }

    /// Returns whether the ledger is recent enough for a response without newer results to a call that arrived at
    /// `arrived_ms`.
    #[must_use]
    pub fn is_recent(&self, arrived_ms: u64) -> bool {
        self.complete_as_of_ms
            .is_some_and(|as_of_ms| arrived_ms <= as_of_ms + MAX_AGE_MS)
    }

    /// Returns the time before which all changes of the store have been applied, whatever keys they concern; `None` after a gap.
    #[must_use]
    pub fn complete_as_of_ms(&self) -> Option<u64> {
        self.complete_as_of_ms
    }

    /// Returns the mark to pass to [`Self::on_read`]; call it before the read is sent.
    #[must_use]
    pub fn mark(&self) -> ReadMark {
        ReadMark { gaps: self.gaps }
    }

    /// Applies a read of a job. Returns `false` if changes after the read may have been missed; it has to be repeated.
    pub fn on_read<'a>(
        &mut self,
        mark: ReadMark,
        pairs: impl IntoIterator<Item = (&'a str, &'a Bytes)>,
    ) -> bool {
        if mark != self.mark() {
            return false;
        }
        for (key, value) in pairs {
            self.on_put(key, value);
        }
        true
    }

    /// Applies the deletion of a key. A job whose head is deleted is removed.
    pub fn on_removed(&mut self, key: &str) {
        if let Some(JobKey::Head(id)) = self.keys.parse(key) {
            self.jobs.remove(id);
        }
    }

    /// Applies a read of further results of the job `id`, as [`Self::on_read`]. Returns `false` as well if the ledger has
    /// no head of the job: the whole job has to be read, as results say nothing without its items.
    pub fn on_results_read<'a>(
        &mut self,
        mark: ReadMark,
        id: &str,
        pairs: impl IntoIterator<Item = (&'a str, &'a Bytes)>,
    ) -> bool {
        let is_known = self.job(id).is_some_and(|job| job.head().is_some());
        is_known && self.on_read(mark, pairs)
    }

    /// Returns the open jobs for which `is_mine` returns `true`, the earliest due first.
    #[must_use]
    pub fn open_by_due(&self, is_mine: impl Fn(&str) -> bool) -> Vec<(&Name, &Job)> {
        let open = self.jobs.iter().filter(|(_, job)| job.is_open());
        let mut jobs: Vec<_> = open.filter(|(id, _)| is_mine(id)).collect();
        jobs.sort_unstable_by_key(|(id, job)| (job.head().map(|head| head.due_unix_ms), *id));
        jobs
    }
}
