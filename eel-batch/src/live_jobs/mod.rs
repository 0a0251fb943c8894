//! Tracks every live job on one entry node, and chooses the next chunk to claim.

mod index;
mod job;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use eel_types::Name;

use crate::{
    Archive, ChunkIndex, Claim, Done, Head, JobId, RateMeter, Urgency,
    admission::Queued,
    rendezvous::{RendezvousKey, rank},
};
use index::{Index, Readiness};
use job::Job;

/// The delay per rank, in rendezvous order, before an entry node may claim an open chunk.
const RANK_STEP_MS: u64 = 100;
/// The maximum delay before an entry node of any rank may claim an open chunk.
const MAX_RANK_DELAY_MS: u64 = 5_000;
/// How long a node counts as a peer after its last claim.
const PEER_TTL_MS: u64 = 600_000;
/// How long a chunk is not offered again after a claim of it was refused.
const REFUSED_CLAIM_DELAY_MS: u64 = 1_000;

/// A change of the stored state of jobs. Changes are applied in the order of the store's revisions.
#[derive(Clone, Debug)]
pub enum Change {
    /// A job was accepted.
    Accepted(JobId, Head),
    /// A job was archived or removed.
    Removed(JobId),
    /// A job was cancelled.
    Cancelled(JobId),
    /// A chunk was claimed.
    Claimed(JobId, ChunkIndex, Claim),
    /// A claim was released or its lease expired.
    Unclaimed(JobId, ChunkIndex),
    /// Every item of a chunk has its result.
    Done(JobId, ChunkIndex, Done),
}

/// A chunk that may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OpenChunk {
    /// The id of the job.
    pub job: JobId,
    /// The index of the chunk in the job.
    pub chunk: ChunkIndex,
}

/// Tracks the state of all live jobs, and the peers and completion rates that decide the next claim.
#[derive(Clone, Debug)]
pub struct LiveJobs {
    me: Name,
    /// The nodes that claim chunks, with the time of their last claim.
    peers: BTreeMap<Name, u64>,
    jobs: BTreeMap<JobId, Job>,
    index: Index,
    early_cancels: BTreeSet<JobId>,
    meters: HashMap<Name, RateMeter>,
    now_unix_ms: u64,
}

impl LiveJobs {
    /// Creates an empty set of live jobs for the entry node `me`.
    #[must_use]
    pub fn new(me: Name) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            index: Index::default(),
            early_cancels: BTreeSet::new(),
            meters: HashMap::new(),
            now_unix_ms: 0,
        }
    }

    /// Records that the entry node `peer` claims chunks. It counts as a peer for ten minutes.
    pub fn record_peer(&mut self, now_ms: u64, peer: Name) {
        self.peers.insert(peer, now_ms);
        self.peers
            .retain(|_, seen_ms| *seen_ms + PEER_TTL_MS > now_ms);
    }

    /// Removes all jobs, before a new snapshot is applied.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.index = Index::default();
        self.early_cancels.clear();
    }

    /// Applies `change` to the tracked state.
    pub fn apply(&mut self, now_ms: u64, change: Change) {
        match change {
            Change::Accepted(id, head) => self.accept(now_ms, id, head),
            Change::Removed(id) => {
                self.jobs.remove(&id);
                self.index.remove(id);
                self.early_cancels.remove(&id);
            }
            Change::Cancelled(id) => self.cancel(id),
            Change::Claimed(id, chunk, claim) => {
                self.record_peer(now_ms, claim.holder);
                self.with_job(id, |job| job.claim(chunk));
            }
            Change::Unclaimed(id, chunk) => self.with_job(id, |job| job.reopen(now_ms, chunk)),
            Change::Done(id, chunk, done) => self.finish(now_ms, id, chunk, done),
        }
    }

    /// Updates the urgency of all jobs at `now_unix_ms`; called about once a second.
    pub fn refresh(&mut self, now_unix_ms: u64) {
        self.now_unix_ms = now_unix_ms;
        let ids: Vec<_> = self.jobs.keys().copied().collect();
        for id in ids {
            self.reindex(id);
        }
    }

    /// Stops offering a chunk for one second, after a claim of it was refused or failed.
    pub fn pause(&mut self, now_ms: u64, open: OpenChunk) {
        let until_ms = now_ms + REFUSED_CLAIM_DELAY_MS;
        self.with_job(open.job, |job| job.pause(open.chunk, until_ms));
    }

    /// Returns the chunk of `service` that this node should claim next; `None` if there is none.
    ///
    /// Jobs are ordered by urgency, then by deadline. Within a job each node starts with a different chunk, and leaves
    /// a chunk for a while to the nodes before it in rendezvous order, so that nodes rarely compete for a claim.
    #[must_use]
    pub fn next_claim(&self, now_ms: u64, service: &str) -> Option<OpenChunk> {
        let mut waiting = self.index.waiting(service);
        waiting.find_map(|id| self.pick(now_ms, id))
    }

    /// Returns the next chunk of a job that was cancelled or is past its deadline. Its items only get error results.
    #[must_use]
    pub fn next_abandoned(&self, now_ms: u64) -> Option<OpenChunk> {
        self.index.abandoned().find_map(|id| self.pick(now_ms, id))
    }

    /// Returns the services that have a job to run with an open chunk.
    #[must_use]
    pub fn services(&self) -> Vec<Name> {
        self.index.services().cloned().collect()
    }

    /// Returns the urgency of a job when it was last indexed; `None` unless it is to be run and has an open chunk.
    #[must_use]
    pub fn urgency(&self, job: JobId) -> Option<Urgency> {
        self.index.urgency(job)
    }

    /// Returns the head of a live job; `None` for any other job.
    #[must_use]
    pub fn head(&self, job: JobId) -> Option<&Head> {
        self.jobs.get(&job).map(|job| &job.head)
    }

    /// Returns `true` if `job` is live and was cancelled.
    #[must_use]
    pub fn is_cancelled(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.cancelled)
    }

    /// Returns the archive entry of a live job; `None` until all of its items have results.
    #[must_use]
    pub fn to_archive(&self, job: JobId) -> Option<Archive> {
        let job = self.jobs.get(&job).filter(|job| job.left == 0)?;
        Some(Archive {
            head: job.head.clone(),
            cancelled: job.cancelled,
            failed: job.failed,
        })
    }

    /// Returns the live jobs whose items all have results; these are to be archived.
    pub fn finished(&self) -> impl Iterator<Item = JobId> {
        let finished = self.jobs.iter().filter(|(_, job)| job.left == 0);
        finished.map(|(id, _)| *id)
    }

    /// Returns the number of accepted jobs that are not archived.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs with an open chunk that will miss their deadline at the current rate.
    #[must_use]
    pub fn late_jobs(&self) -> usize {
        let ids = self.jobs.keys();
        let urgencies = ids.filter_map(|id| self.index.urgency(*id));
        urgencies
            .filter(|urgency| *urgency == Urgency::Critical)
            .count()
    }

    /// Returns `true` if this node, rather than a peer, archives `job` once it has ended.
    #[must_use]
    pub fn is_archiver(&self, job: JobId) -> bool {
        self.is_first(RendezvousKey::Archive(job))
    }

    /// Returns `true` if this node, rather than a peer, runs the sweep number `round`.
    #[must_use]
    pub fn is_sweeper(&self, round: u64) -> bool {
        self.is_first(RendezvousKey::Sweep(round))
    }

    /// Returns the unfinished work of `service`, for [`crate::admission::decide`].
    #[must_use]
    pub fn queued(&self, service: &str) -> Vec<Queued> {
        let own = self
            .jobs
            .values()
            .filter(|job| &*job.head.service == service);
        let unfinished = own.filter(|job| job.left > 0 && !job.is_abandoned(self.now_unix_ms));
        unfinished
            .map(|job| Queued {
                deadline_unix_ms: job.head.deadline_unix_ms,
                items: job.left,
            })
            .collect()
    }

    /// Returns the rate at which all nodes together finish items of `service`; `None` until it has been measured.
    #[must_use]
    pub fn items_per_s(&self, service: &str) -> Option<f64> {
        self.meters.get(service).and_then(RateMeter::items_per_s)
    }

    fn with_job(&mut self, id: JobId, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.jobs.get_mut(&id) {
            change(job);
            self.reindex(id);
        }
    }

    fn reindex(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let readiness = if !job.has_open_chunk() {
            None
        } else if job.is_abandoned(self.now_unix_ms) {
            Some(Readiness::Abandoned)
        } else {
            Some(Readiness::Waiting {
                urgency: self.urgency_of(job),
                deadline_unix_ms: job.head.deadline_unix_ms,
            })
        };
        self.index.put(id, &job.head.service, readiness);
    }

    fn accept(&mut self, now_ms: u64, id: JobId, head: Head) {
        let cancelled = self.early_cancels.remove(&id);
        self.meter(now_ms, &head.service, 0, true);
        self.jobs
            .entry(id)
            .or_insert_with(|| Job::new(now_ms, head, cancelled));
        self.reindex(id);
    }

    fn cancel(&mut self, id: JobId) {
        if self.jobs.contains_key(&id) {
            self.with_job(id, |job| job.cancelled = true);
        } else {
            self.early_cancels.insert(id);
        }
    }

    fn finish(&mut self, now_ms: u64, id: JobId, chunk: ChunkIndex, done: Done) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(items) = job.finish(chunk) else {
            return;
        };
        job.failed += done.failed;
        let counted = if job.cancelled { 0 } else { items };
        let service = job.head.service.clone();
        self.reindex(id);
        let busy = self
            .jobs
            .values()
            .any(|job| job.left > 0 && job.head.service == service);
        self.meter(now_ms, &service, counted, busy);
    }

    fn meter(&mut self, now_ms: u64, service: &Name, items: u32, busy: bool) {
        let meter = self.meters.entry(service.clone()).or_default();
        meter.record(now_ms, items, busy);
    }

    fn urgency_of(&self, job: &Job) -> Urgency {
        let left_ms = job.head.deadline_unix_ms.saturating_sub(self.now_unix_ms);
        let Some(rate) = self.items_per_s(&job.head.service) else {
            return Urgency::of(0, left_ms.max(1));
        };
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an estimate of a positive time"
        )]
        let work_ms = (job.left as f64 * 1_000.0 / rate) as u64;
        Urgency::of(work_ms, left_ms)
    }

    fn pick(&self, now_ms: u64, id: JobId) -> Option<OpenChunk> {
        let job = self.jobs.get(&id)?;
        job.pick(now_ms, id, &self.me, &self.peers.keys())
    }

    fn is_first(&self, work: RendezvousKey) -> bool {
        rank(&self.me, self.peers.keys(), work) == 0
    }
}
