//! Rendezvous hashing: which of several nodes comes first for a piece of work.

use eel_types::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::{ChunkIndex, JobId};

/// A piece of work that one node should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Place {
    /// Working on a chunk.
    Chunk(JobId, ChunkIndex),
    /// Archiving a job.
    Archive(JobId),
    /// One round of the sweep.
    Sweep(u64),
}

/// Returns the weight of `node` for `place`; the heaviest node comes first.
pub(crate) fn weight(node: &Name, place: Place) -> u64 {
    let mut key = Vec::with_capacity(node.len() + 24);
    key.extend_from_slice(node.as_bytes());
    match place {
        Place::Chunk(job, chunk) => {
            key.extend_from_slice(b"/c");
            key.extend_from_slice(&job.0.to_be_bytes());
            key.extend_from_slice(&chunk.0.to_be_bytes());
        }
        Place::Archive(job) => {
            key.extend_from_slice(b"/a");
            key.extend_from_slice(&job.0.to_be_bytes());
        }
        Place::Sweep(round) => {
            key.extend_from_slice(b"/s");
            key.extend_from_slice(&round.to_be_bytes());
        }
    }
    xxh3_64(&key)
}

/// Returns how many of `peers` come before `me` for `place`.
pub(crate) fn rank<'a>(me: &Name, peers: impl Iterator<Item = &'a Name>, place: Place) -> u64 {
    let own = weight(me, place);
    let others = peers.filter(|peer| *peer != me);
    others.filter(|peer| weight(peer, place) > own).count() as u64
}
