//! The jobs with an open chunk, in the order in which they are claimed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use eel_types::Name;

use crate::{JobId, Urgency};

/// The order of jobs of one service.
type Order = (Reverse<Urgency>, u64, JobId);

/// Where a job stands in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// Its items are to be run.
    Waiting {
        /// The urgency at the latest look.
        urgency: Urgency,
        /// The deadline, in Unix time.
        deadline_unix_ms: u64,
    },
    /// Its items are only to be ended.
    Over,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    standings: BTreeMap<JobId, (Name, Standing)>,
    waiting: BTreeMap<Name, BTreeSet<Order>>,
    over: BTreeSet<JobId>,
}

impl Index {
    /// Puts a job where it stands now; `None` takes it out.
    pub(super) fn put(&mut self, job: JobId, service: &Name, standing: Option<Standing>) {
        let known = self.standings.get(&job).map(|(_, standing)| *standing);
        if known == standing {
            return;
        }
        self.remove(job);
        let Some(standing) = standing else {
            return;
        };
        self.standings.insert(job, (service.clone(), standing));
        match standing {
            Standing::Waiting {
                urgency,
                deadline_unix_ms,
            } => {
                let order = (Reverse(urgency), deadline_unix_ms, job);
                self.waiting
                    .entry(service.clone())
                    .or_default()
                    .insert(order);
            }
            Standing::Over => {
                self.over.insert(job);
            }
        }
    }

    pub(super) fn remove(&mut self, job: JobId) {
        let Some((service, standing)) = self.standings.remove(&job) else {
            return;
        };
        match standing {
            Standing::Waiting {
                urgency,
                deadline_unix_ms,
            } => {
                if let Some(waiting) = self.waiting.get_mut(&service) {
                    waiting.remove(&(Reverse(urgency), deadline_unix_ms, job));
                }
            }
            Standing::Over => {
                self.over.remove(&job);
            }
        }
    }

    /// Returns the urgency at the latest look of a job that waits.
    pub(super) fn urgency(&self, job: JobId) -> Option<Urgency> {
        match self.standings.get(&job)?.1 {
            Standing::Waiting { urgency, .. } => Some(urgency),
            Standing::Over => None,
        }
    }

    /// Returns the services with a job that waits.
    pub(super) fn services(&self) -> impl Iterator<Item = &Name> {
        let waiting = self.waiting.iter();
        let busy = waiting.filter(|(_, jobs)| !jobs.is_empty());
        busy.map(|(service, _)| service)
    }

    /// Returns the jobs of a service that wait, the most urgent first.
    pub(super) fn waiting(&self, service: &str) -> impl Iterator<Item = JobId> {
        let jobs = self.waiting.get(service).into_iter().flatten();
        jobs.map(|(_, _, job)| *job)
    }

    /// Returns the jobs whose items are only to be ended.
    pub(super) fn over(&self) -> impl Iterator<Item = JobId> {
        self.over.iter().copied()
    }
}
