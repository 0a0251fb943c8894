//! Index of the jobs with an open chunk, in claim order.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use eel_types::Name;

use crate::{JobId, Urgency};

/// The claim order of the jobs of one service: urgency, then deadline, then id.
type Order = (Reverse<Urgency>, u64, JobId);

/// Which list of the index a job is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Readiness {
    /// The items of the job are to be run.
    Waiting {
        /// The urgency when the job was last indexed.
        urgency: Urgency,
        /// The deadline, in Unix time.
        deadline_unix_ms: u64,
    },
    /// The job was cancelled or is past its deadline: its items only get error results.
    Abandoned,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    readiness: BTreeMap<JobId, (Name, Readiness)>,
    waiting: BTreeMap<Name, BTreeSet<Order>>,
    abandoned: BTreeSet<JobId>,
}

impl Index {
    /// Moves a job to the list of `readiness`; `None` removes it from the index.
    pub(super) fn put(&mut self, job: JobId, service: &Name, readiness: Option<Readiness>) {
        let known = self.readiness.get(&job).map(|(_, readiness)| *readiness);
        if known == readiness {
            return;
        }
        self.remove(job);
        let Some(readiness) = readiness else {
            return;
        };
        self.readiness.insert(job, (service.clone(), readiness));
        match readiness {
            Readiness::Waiting {
                urgency,
                deadline_unix_ms,
            } => {
                let order = (Reverse(urgency), deadline_unix_ms, job);
                self.waiting
                    .entry(service.clone())
                    .or_default()
                    .insert(order);
            }
            Readiness::Abandoned => {
                self.abandoned.insert(job);
            }
        }
    }

    pub(super) fn remove(&mut self, job: JobId) {
        let Some((service, readiness)) = self.readiness.remove(&job) else {
            return;
        };
        match readiness {
            Readiness::Waiting {
                urgency,
                deadline_unix_ms,
            } => {
                if let Some(waiting) = self.waiting.get_mut(&service) {
                    waiting.remove(&(Reverse(urgency), deadline_unix_ms, job));
                }
            }
            Readiness::Abandoned => {
                self.abandoned.remove(&job);
            }
        }
    }

    /// Returns the urgency of a waiting job when it was last indexed; `None` for any other job.
    pub(super) fn urgency(&self, job: JobId) -> Option<Urgency> {
        match self.readiness.get(&job)?.1 {
            Readiness::Waiting { urgency, .. } => Some(urgency),
            Readiness::Abandoned => None,
        }
    }

    /// Returns the services with waiting jobs.
    pub(super) fn services(&self) -> impl Iterator<Item = &Name> {
        let waiting = self.waiting.iter();
        let busy = waiting.filter(|(_, jobs)| !jobs.is_empty());
        busy.map(|(service, _)| service)
    }

    /// Returns the waiting jobs of a service in claim order.
    pub(super) fn waiting(&self, service: &str) -> impl Iterator<Item = JobId> {
        let jobs = self.waiting.get(service).into_iter().flatten();
        jobs.map(|(_, _, job)| *job)
    }

    /// Returns the jobs that were cancelled or are past their deadline.
    pub(super) fn abandoned(&self) -> impl Iterator<Item = JobId> {
        self.abandoned.iter().copied()
    }
}
