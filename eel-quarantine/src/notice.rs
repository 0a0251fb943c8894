//! The notice of crashes and blocked parts that a node sends to its peers in one datagram.

use serde::{Deserialize, Serialize};

use crate::{Crash, Part, PartSet, Scope};

/// A notice could not be encoded, or a datagram is not a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot encode or decode a notice of crashes")]
pub struct NoticeError;

/// Recent crashes and changes of blocked parts. Notices repeat them, so that a lost one is made up for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The secret that the receiver published for its peers; a notice without it is dropped.
    pub token: u64,
    /// The crashes that the sender has seen, the newest first, and how long ago, in ms.
    pub crashes: Vec<(u64, Crash)>,
    /// Parts of known crashes with which a response was completed at the sender, and how long ago, in ms.
    pub completed: Vec<(u64, Part)>,
    /// The sets of parts that the sender blocks, the newest first.
    pub blocked: Vec<PartSet>,
    /// The ids of sets that the sender has ceased to block.
    pub lifted: Vec<u64>,
    /// What the parts are.
    #[serde(skip)]
    pub scope: Scope,
}

impl Notice {
    /// Returns whether the notice says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.completed.is_empty()
            && self.blocked.is_empty()
            && self.lifted.is_empty()
    }

    /// Drops entries until the notice takes up at most `max_bytes` as a datagram: the oldest crashes first, which earlier
    /// notices had, and last what speaks for parts.
    pub fn shrink(&mut self, max_bytes: usize) {
        while self.encode().map_or(0, |it| it.len()) > max_bytes {
            let dropped = self.crashes.pop().is_some()
                || self.blocked.pop().is_some()
                || self.completed.pop().is_some()
                || self.lifted.pop().is_some();
            if !dropped {
                return;
            }
        }
    }

    /// Encodes the notice for one datagram.
    ///
    /// # Errors
    ///
    /// [`NoticeError`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, NoticeError> {
        postcard::to_stdvec(&(self.scope.mark(), self)).map_err(|_| NoticeError)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`NoticeError`] if the datagram is truncated or not a notice.
    pub fn decode(datagram: &[u8]) -> Result<Self, NoticeError> {
        let (mark, notice): (u64, Self) =
            postcard::from_bytes(datagram).map_err(|_| NoticeError)?;
        let scope = Scope::ALL.into_iter().find(|it| it.mark() == mark);
        scope
            .map(|scope| Self { scope, ..notice })
            .ok_or(NoticeError)
    }
}
