//! The notices by which nodes tell one another their tokens, and move tokens.

use serde::{Deserialize, Serialize};

/// Begins a notice. A load report begins with the receiver's token, so that nodes that know no quotas drop notices.
const MARK: u64 = u64::from_le_bytes(*b"eelquota");

/// A notice could not be encoded, or a datagram is not a notice of quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot encode or decode a notice of quotas")]
pub struct QuotaNoticeError;

/// The tokens of one tenant at one node, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLevel {
    /// [`stable_hash`](crate::stable_hash) of the tenant's name.
    pub tenant: u64,
    /// The tokens that the sender has, after the grant.
    pub level: u64,
    /// The tokens that the sender expects to need soon.
    pub target: u64,
    /// The tokens that the sender grants to the receiver. They are lost if the notice is.
    pub grant: u64,
}

/// What a node tells one peer of its tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaNotice {
    /// The secret that the receiver published for its peers; a notice without it is dropped.
    pub token: u64,
    /// The sender's incarnation.
    pub sender: u64,
    /// The time at which the notice was sent, in ms on the sender's clock.
    pub sent_ms: u64,
    /// `sent_ms` of the newest notice that the sender has from the receiver; 0 if it has none.
    pub echo_ms: u64,
    /// The tenants.
    pub tenants: Vec<TenantLevel>,
}

impl QuotaNotice {
    /// Splits the notice into notices that take up at most `max_bytes` as datagrams, unless one tenant takes up more.
    #[must_use]
    pub fn split(self, max_bytes: usize) -> Vec<Self> {
        let size = self.encode().map_or(0, |it| it.len());
        if size <= max_bytes || self.tenants.len() < 2 {
            return vec![self];
        }
        let (first, second) = self.tenants.split_at(self.tenants.len() / 2);
        let halves = [first, second].map(|tenants| Self {
            tenants: tenants.to_vec(),
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
    /// [`QuotaNoticeError`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, QuotaNoticeError> {
        postcard::to_stdvec(&(MARK, self)).map_err(|_| QuotaNoticeError)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`QuotaNoticeError`] if the datagram is truncated or not a notice of quotas.
    pub fn decode(datagram: &[u8]) -> Result<Self, QuotaNoticeError> {
        let (mark, notice): (u64, Self) =
            postcard::from_bytes(datagram).map_err(|_| QuotaNoticeError)?;
        if mark == MARK {
            Ok(notice)
        } else {
            Err(QuotaNoticeError)
        }
    }
}
