//! The jobs that a node has read from the store.

use std::collections::HashMap;

use bytes::Bytes;
use eel_types::Name;

use crate::{
    Job, JobKey, Keys,
    entry::{JobHead, ListedResult},
};

/// The jobs that a node has read from the store, by id.
#[derive(Debug)]
pub struct Ledger {
    keys: Keys,
    jobs: HashMap<Name, Job>,
    undecoded: u64,
}

impl Ledger {
    /// Creates an empty ledger for the jobs under `keys`.
    #[must_use]
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            jobs: HashMap::new(),
            undecoded: 0,
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
            JobKey::Head(_) => postcard::from_bytes::<JobHead>(value)
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

    /// Removes all jobs. Called when changes may have been missed, before the jobs are read again.
    pub fn clear(&mut self) {
        self.jobs.clear();
    }

    /// Applies the deletion of a key. A job whose head is deleted is removed.
    pub fn on_removed(&mut self, key: &str) {
        if let Some(JobKey::Head(id)) = self.keys.parse(key) {
            self.jobs.remove(id);
        }
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
