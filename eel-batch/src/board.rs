//! Every live job as one entry node sees it, and the choice of the next chunk to claim.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use eel_types::Name;

use crate::{
    Archive, ChunkIndex, Claim, Done, Head, JobId, RateMeter, Urgency,
    admission::Queued,
    rendezvous::{Place, rank, weight},
};

/// How much later each further entry node in rendezvous order may claim a chunk.
const RANK_STEP_MS: u64 = 100;
/// The longest time that a node leaves a chunk to the nodes before it.
const MAX_RANK_DELAY_MS: u64 = 5_000;
/// How long a node counts as a peer after it claimed a chunk.
const PEER_MS: u64 = 600_000;
/// How long a chunk is left alone after a claim of it was refused.
const REFUSED_PAUSE_MS: u64 = 1_000;

/// A change of the stored state of jobs, in the order of the store's revisions.
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
    /// A claim was given back or its lease lapsed.
    Unclaimed(JobId, ChunkIndex),
    /// Every item of a chunk has its result.
    Done(JobId, ChunkIndex, Done),
}

/// A chunk that may be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OpenChunk {
    /// The job.
    pub job: JobId,
    /// The chunk.
    pub chunk: ChunkIndex,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Open { since_ms: u64, not_before_ms: u64 },
    Claimed,
    Done,
}

#[derive(Clone, Debug)]
struct Job {
    head: Head,
    cancelled: bool,
    chunks: Vec<ChunkState>,
    left: u64,
    failed: u32,
}

/// Follows the state of all live jobs.
#[derive(Clone, Debug)]
pub struct Board {
    me: Name,
    /// The nodes that were seen to claim, with the time.
    peers: BTreeMap<Name, u64>,
    jobs: BTreeMap<JobId, Job>,
    early_cancels: BTreeSet<JobId>,
    meters: HashMap<Name, RateMeter>,
}

impl Board {
    /// Starts empty, for the entry node `me`.
    #[must_use]
    pub fn new(me: Name) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            early_cancels: BTreeSet::new(),
            meters: HashMap::new(),
        }
    }

    /// Notes that the entry node `peer` claims chunks; it counts as a peer for ten minutes.
    pub fn note_peer(&mut self, now_ms: u64, peer: Name) {
        self.peers.insert(peer, now_ms);
        self.peers.retain(|_, seen_ms| *seen_ms + PEER_MS > now_ms);
    }

    /// Forgets all jobs, before a new snapshot is applied.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.early_cancels.clear();
    }

    /// Applies a change of the stored state.
    pub fn apply(&mut self, now_ms: u64, change: Change) {
        match change {
            Change::Accepted(job, head) => self.accept(now_ms, job, head),
            Change::Removed(job) => {
                self.jobs.remove(&job);
                self.early_cancels.remove(&job);
            }
            Change::Cancelled(job) => match self.jobs.get_mut(&job) {
                Some(known) => known.cancelled = true,
                None => {
                    self.early_cancels.insert(job);
                }
            },
            Change::Claimed(job, chunk, claim) => {
                self.note_peer(now_ms, claim.holder);
                self.set(job, chunk, ChunkState::Claimed);
            }
            Change::Unclaimed(job, chunk) => self.set(job, chunk, open(now_ms)),
            Change::Done(job, chunk, done) => self.finish(now_ms, job, chunk, done),
        }
    }

    /// Leaves a chunk alone for a moment after a claim of it was refused or failed.
    pub fn pause(&mut self, now_ms: u64, open: OpenChunk) {
        let Some(job) = self.jobs.get_mut(&open.job) else {
            return;
        };
        if let Some(ChunkState::Open { not_before_ms, .. }) =
            job.chunks.get_mut(open.chunk.0 as usize)
        {
            *not_before_ms = now_ms + REFUSED_PAUSE_MS;
        }
    }

    /// Returns the chunk of `service` that this node should claim next.
    ///
    /// Jobs come by urgency, then by deadline. Within a job each node begins with another chunk,
    /// and leaves a chunk for a while to the nodes that come before it in rendezvous order.
    #[must_use]
    pub fn next_claim(&self, now_ms: u64, now_unix_ms: u64, service: &str) -> Option<OpenChunk> {
        let mut jobs: Vec<_> = self.jobs_of(service).collect();
        jobs.sort_by_key(|(id, job)| {
            let urgency = self.grade(now_unix_ms, job);
            (Reverse(urgency), job.head.deadline_unix_ms, **id)
        });
        jobs.into_iter()
            .find_map(|(id, job)| self.pick_chunk(now_ms, *id, job))
    }

    /// Returns the services that have an unfinished job.
    #[must_use]
    pub fn services(&self) -> Vec<Name> {
        let unfinished = self.jobs.values().filter(|job| job.left > 0);
        let mut services: Vec<_> = unfinished.map(|job| job.head.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Returns the urgency of `job`; `None` for an unknown one.
    #[must_use]
    pub fn urgency(&self, now_unix_ms: u64, job: JobId) -> Option<Urgency> {
        self.jobs.get(&job).map(|job| self.grade(now_unix_ms, job))
    }

    /// Returns the head of a live job.
    #[must_use]
    pub fn head(&self, job: JobId) -> Option<&Head> {
        self.jobs.get(&job).map(|job| &job.head)
    }

    /// Returns `true` if `job` was cancelled.
    #[must_use]
    pub fn is_cancelled(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.cancelled)
    }

    /// Returns what is to be kept of a live job once all of its items have results.
    #[must_use]
    pub fn to_archive(&self, job: JobId) -> Option<Archive> {
        let job = self.jobs.get(&job).filter(|job| job.left == 0)?;
        Some(Archive {
            head: job.head.clone(),
            cancelled: job.cancelled,
            failed: job.failed,
        })
    }

    /// Returns the live jobs whose items all have results.
    pub fn finished(&self) -> impl Iterator<Item = JobId> {
        let finished = self.jobs.iter().filter(|(_, job)| job.left == 0);
        finished.map(|(id, _)| *id)
    }

    /// Returns `true` if this node archives `job` once it has ended.
    #[must_use]
    pub fn is_archiver(&self, job: JobId) -> bool {
        self.is_first(Place::Archive(job))
    }

    /// Returns `true` if this node sweeps in the round `round`.
    #[must_use]
    pub fn is_sweeper(&self, round: u64) -> bool {
        self.is_first(Place::Sweep(round))
    }

    /// Returns the unfinished work of `service`, for [`crate::admission::decide`].
    #[must_use]
    pub fn queued(&self, service: &str) -> Vec<Queued> {
        let unfinished = self.jobs_of(service).filter(|(_, job)| !job.cancelled);
        unfinished
            .map(|(_, job)| Queued {
                deadline_unix_ms: job.head.deadline_unix_ms,
                items: job.left,
            })
            .collect()
    }

    /// Returns the rate at which all nodes together finish items of `service`.
    #[must_use]
    pub fn items_per_s(&self, service: &str) -> Option<f64> {
        self.meters.get(service).and_then(RateMeter::items_per_s)
    }

    fn jobs_of(&self, service: &str) -> impl Iterator<Item = (&JobId, &Job)> {
        let unfinished = self.jobs.iter().filter(|(_, job)| job.left > 0);
        unfinished.filter(move |(_, job)| &*job.head.service == service)
    }

    fn accept(&mut self, now_ms: u64, id: JobId, head: Head) {
        let cancelled = self.early_cancels.remove(&id);
        self.meter(now_ms, &head.service, 0, true);
        let chunks = vec![open(now_ms); head.chunk_items.len()];
        let left = u64::from(head.items());
        self.jobs.entry(id).or_insert(Job {
            head,
            cancelled,
            chunks,
            left,
            failed: 0,
        });
    }

    fn set(&mut self, job: JobId, chunk: ChunkIndex, state: ChunkState) {
        let job = self.jobs.get_mut(&job);
        let Some(slot) = job.and_then(|job| job.chunks.get_mut(chunk.0 as usize)) else {
            return;
        };
        if *slot != ChunkState::Done {
            *slot = state;
        }
    }

    fn finish(&mut self, now_ms: u64, id: JobId, chunk: ChunkIndex, done: Done) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let place = chunk.0 as usize;
        let Some(slot) = job.chunks.get_mut(place) else {
            return;
        };
        if *slot == ChunkState::Done {
            return;
        }
        *slot = ChunkState::Done;
        job.failed += done.failed;
        let items = job.head.chunk_items[place];
        job.left -= u64::from(items);
        let counted = if job.cancelled { 0 } else { items };
        let service = job.head.service.clone();
        let busy = self.jobs_of(&service).next().is_some();
        self.meter(now_ms, &service, counted, busy);
    }

    fn meter(&mut self, now_ms: u64, service: &Name, items: u32, busy: bool) {
        let meter = self.meters.entry(service.clone()).or_default();
        meter.record(now_ms, items, busy);
    }

    fn grade(&self, now_unix_ms: u64, job: &Job) -> Urgency {
        let left_ms = job.head.deadline_unix_ms.saturating_sub(now_unix_ms);
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

    fn pick_chunk(&self, now_ms: u64, id: JobId, job: &Job) -> Option<OpenChunk> {
        let chunks = job.head.chunks().zip(&job.chunks);
        let ready = chunks.filter_map(|(chunk, state)| match state {
            ChunkState::Open {
                since_ms,
                not_before_ms,
            } if *not_before_ms <= now_ms => Some((chunk, *since_ms)),
            _ => None,
        });
        let mine = ready.filter(|(chunk, since_ms)| {
            let place = Place::Chunk(id, *chunk);
            let delay_ms = rank(&self.me, self.peers.keys(), place) * RANK_STEP_MS;
            since_ms + delay_ms.min(MAX_RANK_DELAY_MS) <= now_ms
        });
        mine.map(|(chunk, _)| chunk)
            .max_by_key(|chunk| weight(&self.me, Place::Chunk(id, *chunk)))
            .map(|chunk| OpenChunk { job: id, chunk })
    }

    fn is_first(&self, place: Place) -> bool {
        rank(&self.me, self.peers.keys(), place) == 0
    }
}

fn open(now_ms: u64) -> ChunkState {
    ChunkState::Open {
        since_ms: now_ms,
        not_before_ms: now_ms,
    }
}
