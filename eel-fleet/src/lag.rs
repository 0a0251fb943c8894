//! Whether this node's view of the store is behind what its peers show to callers.

use eel_types::Revision;

/// How long a peer's revision may be ahead before this node counts as behind, in ms: a change reaches all nodes within
/// the pause of their watches, 400 ms, and a call.
const BEHIND_MS: u64 = 500;

/// A revision that a peer has shown, and when this node heard of it.
#[derive(Clone, Copy, Debug)]
struct Heard {
    revision: Revision,
    at_ms: u64,
}

/// How far this node's view of the store is, beside that of its peers.
///
/// The load that this answers: callers read a job's results at any node, and what one has shown no other may miss. A
/// watch that went silent looks like one with nothing to tell; only the peers' reports tell them apart.
#[derive(Debug, Default)]
pub struct Lag {
    /// Every change up to here is known. The store also counts what is no change, so this may be beyond `shown`.
    complete: Revision,
    /// The newest change that is known.
    shown: Revision,
    /// The earliest that was heard of the revisions that are not reached yet.
    earliest: Option<Heard>,
    newest: Option<Heard>,
}

impl Lag {
    /// Returns the newest revision of which this node may have shown something.
    #[must_use]
    pub fn shown(&self) -> Revision {
        self.shown
    }

    /// Takes in a change, though not all before it may be known.
    pub fn on_change(&mut self, revision: Revision) {
        self.shown = self.shown.max(revision);
    }

    /// Takes in that all changes up to `revision` are known.
    pub fn on_complete(&mut self, revision: Revision) {
        self.complete = self.complete.max(revision);
        let is_ahead = |heard: &Heard| heard.revision > self.complete;
        self.earliest = self
            .earliest
            .filter(is_ahead)
            .or(self.newest.filter(is_ahead));
    }

    /// Takes in what a peer has shown.
    pub fn on_peer_revision(&mut self, now_ms: u64, revision: Revision) {
        let is_news = self.newest.is_none_or(|newest| revision > newest.revision);
        if !is_news || revision <= self.complete {
            return;
        }
        let heard = Heard {
            revision,
            at_ms: now_ms,
        };
        self.newest = Some(heard);
        self.earliest.get_or_insert(heard);
    }

    /// Returns whether a peer may have shown what this node has missed for long.
    #[must_use]
    pub fn is_behind(&self, now_ms: u64) -> bool {
        self.earliest
            .is_some_and(|heard| now_ms >= heard.at_ms + BEHIND_MS)
    }
}
