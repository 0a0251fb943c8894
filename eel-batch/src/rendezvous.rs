//! Rendezvous hashing: ranks nodes for a piece of work.

use eel_types::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::{ChunkIndex, JobId};

/// A piece of work that preferably one node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RendezvousKey {
    /// Claim and run a chunk.
    Chunk(JobId, ChunkIndex),
    /// Archive a job.
    Archive(JobId),
    /// Run the sweep of this number.
    Sweep(u64),
}

/// Returns the weight of `node` for `work`; the node with the highest weight has rank 0.
pub(crate) fn weight(node: &Name, work: RendezvousKey) -> u64 {
    let mut key = Vec::with_capacity(node.len() + 24);
    key.extend_from_slice(node.as_bytes());
    match work {
        RendezvousKey::Chunk(job, chunk) => {
            key.extend_from_slice(b"/c");
            key.extend_from_slice(&job.0.to_be_bytes());
            key.extend_from_slice(&chunk.0.to_be_bytes());
        }
        RendezvousKey::Archive(job) => {
            key.extend_from_slice(b"/a");
            key.extend_from_slice(&job.0.to_be_bytes());
        }
        RendezvousKey::Sweep(round) => {
            key.extend_from_slice(b"/s");
            key.extend_from_slice(&round.to_be_bytes());
        }
    }
    xxh3_64(&key)
}

/// Returns the rank of `me` for `work`: the number of `peers` with a higher weight.
pub(crate) fn rank<'a>(
    me: &Name,
    peers: impl Iterator<Item = &'a Name>,
    work: RendezvousKey,
) -> u64 {
    let own = weight(me, work);
    let others = peers.filter(|peer| *peer != me);
    others.filter(|peer| weight(peer, work) > own).count() as u64
}
