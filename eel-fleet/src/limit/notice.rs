//! The notices by which nodes tell one another which targets name a limit, and what they have sent to these.

use serde::{Deserialize, Serialize};

use super::RateLimit;

/// Begins a notice. A load report begins with the receiver's token, so that nodes which know no limits drop notices.
const MARK: u64 = u64::from_le_bytes(*b"eellimit");

/// A notice could not be encoded, or a datagram is not a notice of limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot encode or decode a notice of limits")]
pub struct LimitNoticeError;

/// What a node knows of a target's limit, and what it has sent to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// Hash of the target's incarnation.
    pub incarnation: u64,
    /// The limit that the target named last; `None` if it named none.
    pub limit: Option<RateLimit>,
    /// How long ago the request was sent whose response said so, in ms.
    pub asked_ago_ms: u64,
    /// How long ago its response arrived, in ms.
    pub answered_ago_ms: u64,
    /// The number of requests that the node has sent to the target since it knows of the limit; it wraps around.
    pub sent: u32,
}

/// What a node tells its peers of limited targets. A lost notice is made up for by the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The secret that the receiver published for its peers; a notice without it is dropped.
    pub token: u64,
    /// The sender's incarnation.
    pub sender: u64,
    /// The targets.
    pub targets: Vec<TargetUsage>,
}

impl LimitNotice {
    /// Splits the notice into notices that take up at most `max_bytes` as datagrams, unless one target takes up more.
    #[must_use]
    pub fn split(self, max_bytes: usize) -> Vec<Self> {
        let size = self.encode().map_or(0, |it| it.len());
        if size <= max_bytes || self.targets.len() < 2 {
            return vec![self];
        }
        let (first, second) = self.targets.split_at(self.targets.len() / 2);
        let halves = [first, second].map(|targets| Self {
            targets: targets.to_vec(),
            ..self
        });
        halves
            .into_iter()
            .flat_map(|half| half.split(max_bytes))
            .collect()
    }

    /// Encodes the notice for one datagram.
    ///
    /// # Errors
    ///
    /// [`LimitNoticeError`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, LimitNoticeError> {
        postcard::to_stdvec(&(MARK, self)).map_err(|_| LimitNoticeError)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`LimitNoticeError`] if the datagram is truncated or not a notice of limits.
    pub fn decode(datagram: &[u8]) -> Result<Self, LimitNoticeError> {
        let (mark, notice): (u64, Self) =
            postcard::from_bytes(datagram).map_err(|_| LimitNoticeError)?;
        if mark == MARK {
            Ok(notice)
        } else {
            Err(LimitNoticeError)
        }
    }
}
