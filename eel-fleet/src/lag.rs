//! Detects that this node's view of the store lags behind the views that its peers show to callers.

use eel_types::Revision;

/// How long a revision shown by a peer may be missing here before this node counts as behind. A change reaches every
/// node within the 400 ms pause between its watch calls plus one call.
const MAX_LAG_MS: u64 = 500;

/// A revision that a peer has shown to callers, and when this node learned of it.
#[derive(Clone, Copy, Debug)]
struct PeerRevision {
    revision: Revision,
    at_ms: u64,
}

/// Compares this node's view of the store with the revisions that its peers have shown to callers.
///
/// Callers read a job's results at any node, so a change that one node has shown must not be missing at another. A
/// watch that went silent looks like a watch without changes; only the reports of peers tell the two apart.
#[derive(Debug, Default)]
pub struct Lag {
    /// Every change up to this revision is known. Not every revision of the store is a change, so this may exceed
    /// `shown`.
    complete: Revision,
    /// The revision of the newest known change.
    shown: Revision,
    /// The peer revision that has been missing here for the longest time.
    earliest: Option<PeerRevision>,
    /// The highest peer revision that was missing here when its report arrived.
    newest: Option<PeerRevision>,
}

impl Lag {
    /// Returns the newest revision that this node may have shown to callers.
    #[must_use]
    pub fn shown(&self) -> Revision {
        self.shown
    }

    /// Records a known change. Earlier changes may still be missing.
    pub fn on_change(&mut self, revision: Revision) {
        self.shown = self.shown.max(revision);
    }

    /// Records that all changes up to `revision` are known.
    pub fn on_complete(&mut self, revision: Revision) {
        self.complete = self.complete.max(revision);
        let is_ahead = |peer: &PeerRevision| peer.revision > self.complete;
        self.earliest = self
            .earliest
            .filter(is_ahead)
            .or(self.newest.filter(is_ahead));
    }

    /// Records the newest revision that a peer has shown to callers.
    pub fn on_peer_revision(&mut self, now_ms: u64, revision: Revision) {
        let is_news = self.newest.is_none_or(|newest| revision > newest.revision);
        if !is_news || revision <= self.complete {
            return;
        }
        let peer = PeerRevision {
            revision,
            at_ms: now_ms,
        };
        self.newest = Some(peer);
        self.earliest.get_or_insert(peer);
    }

    /// Returns whether a revision that a peer has shown has been missing here for too long.
    #[must_use]
    pub fn is_behind(&self, now_ms: u64) -> bool {
        self.earliest
            .is_some_and(|peer| now_ms >= peer.at_ms + MAX_LAG_MS)
    }
}
