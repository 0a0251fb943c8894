//! The state of one live job and its chunks.

use eel_types::Name;

use super::{MAX_RANK_DELAY_MS, OpenChunk, RANK_STEP_MS};
use crate::{
    ChunkIndex, Head, JobId,
    rendezvous::{RendezvousKey, rank, weight},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkState {
    Open { since_ms: u64, not_before_ms: u64 },
    Claimed,
    Done,
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) head: Head,
    pub(super) cancelled: bool,
    /// The number of items in chunks that are not done.
    pub(super) left: u64,
    pub(super) failed: u32,
    chunks: Vec<ChunkState>,
    open_chunks: u32,
}

impl Job {
    pub(super) fn new(now_ms: u64, head: Head, cancelled: bool) -> Self {
        let chunks = vec![open_since(now_ms); head.chunk_items.len()];
        Self {
            left: u64::from(head.items()),
            open_chunks: u32::try_from(chunks.len()).unwrap_or(u32::MAX),
            failed: 0,
            head,
            cancelled,
            chunks,
        }
    }

    pub(super) fn has_open_chunk(&self) -> bool {
        self.open_chunks > 0
    }

    /// Returns `true` if the job was cancelled or is past its deadline, so that its items only get error results.
    pub(super) fn is_abandoned(&self, now_unix_ms: u64) -> bool {
        self.cancelled || self.head.deadline_unix_ms <= now_unix_ms
    }

    /// Reopens a chunk whose claim ended before the chunk was done.
    pub(super) fn reopen(&mut self, now_ms: u64, chunk: ChunkIndex) {
        self.set(chunk, open_since(now_ms));
    }

    pub(super) fn claim(&mut self, chunk: ChunkIndex) {
        self.set(chunk, ChunkState::Claimed);
    }

    /// Marks a chunk as done and returns its number of items; `None` if it is unknown or was already done.
    pub(super) fn finish(&mut self, chunk: ChunkIndex) -> Option<u32> {
        let items = *self.head.chunk_items.get(chunk.0 as usize)?;
        let changed = self.set(chunk, ChunkState::Done);
        changed.then(|| {
            self.left -= u64::from(items);
            items
        })
    }

    pub(super) fn pause(&mut self, chunk: ChunkIndex, until_ms: u64) {
        let state = self.chunks.get_mut(chunk.0 as usize);
        if let Some(ChunkState::Open { not_before_ms, .. }) = state {
            *not_before_ms = until_ms;
        }
    }

    /// Returns the open chunk that `me` claims next, by rendezvous weight.
    ///
    /// A chunk that was opened recently is left to the peers of higher weight for [`RANK_STEP_MS`] per peer, and for
    /// [`MAX_RANK_DELAY_MS`] at most.
    pub(super) fn pick<'a>(
        &self,
        now_ms: u64,
        id: JobId,
        me: &Name,
        peers: &(impl Iterator<Item = &'a Name> + Clone),
    ) -> Option<OpenChunk> {
        let chunks = self.head.chunks().zip(&self.chunks);
        let ready = chunks.filter_map(|(chunk, state)| match *state {
            ChunkState::Open {
                since_ms,
                not_before_ms,
            } if not_before_ms <= now_ms => Some((chunk, since_ms)),
            _ => None,
        });
        let mine = ready.filter(|(chunk, since_ms)| {
            let rank = rank(me, peers.clone(), RendezvousKey::Chunk(id, *chunk));
            let delay_ms = (rank * RANK_STEP_MS).min(MAX_RANK_DELAY_MS);
            since_ms + delay_ms <= now_ms
        });
        mine.map(|(chunk, _)| chunk)
            .max_by_key(|chunk| weight(me, RendezvousKey::Chunk(id, *chunk)))
            .map(|chunk| OpenChunk { job: id, chunk })
    }

    /// Sets the state of a chunk. Returns `false` and changes nothing if the chunk is done or unknown.
    fn set(&mut self, chunk: ChunkIndex, state: ChunkState) -> bool {
        let Some(slot) = self.chunks.get_mut(chunk.0 as usize) else {
            return false;
        };
        if *slot == ChunkState::Done {
            return false;
        }
        let was_open = matches!(slot, ChunkState::Open { .. });
        let is_open = matches!(state, ChunkState::Open { .. });
        self.open_chunks -= u32::from(was_open);
        self.open_chunks += u32::from(is_open);
        *slot = state;
        true
    }
}

fn open_since(now_ms: u64) -> ChunkState {
    ChunkState::Open {
        since_ms: now_ms,
        not_before_ms: now_ms,
    }
}
