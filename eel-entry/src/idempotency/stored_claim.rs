//! What the key-value service holds under an idempotency key.

use bytes::Bytes;
use eel_types::{Name, to_hex};
use eel_verdict::{Reason, Refusal};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The longest answer that is kept for resends, in bytes.
pub(super) const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024;
/// When the caller of a resend should ask again while the first request still runs.
const RETRY_AFTER_MS: u64 = 1_000;

/// A claim and, once the request has been answered, its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredClaim {
    /// Tells this claim from every other.
    pub(super) token: u128,
    /// The digest of the request's method, path and body.
    pub(super) digest: Name,
    /// The answer, where one has come that is short enough.
    pub(super) answer: Option<StoredResponse>,
}

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResponse {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The media type.
    pub(crate) content_type: Option<Name>,
    /// The body.
    pub(crate) body: Bytes,
}

/// What a resend gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ResendOutcome {
    /// The answer of the first request.
    Response(StoredResponse),
    /// A refusal.
    Refuse(Refusal),
}

impl StoredClaim {
    pub(super) fn to_value(&self) -> Bytes {
        Bytes::from(postcard::to_allocvec(self).unwrap_or_default())
    }

    pub(super) fn from_value(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }

    /// Decides on a request that found this entry.
    pub(super) fn on_resend(self, digest: &str) -> ResendOutcome {
        if self.digest.as_str() != digest {
            return ResendOutcome::Refuse(Refusal::not_run(Reason::Conflict));
        }
        match self.answer {
            Some(response) => ResendOutcome::Response(response),
            None => ResendOutcome::Refuse(
                Refusal::may_have_run(Reason::Conflict).retry_after(RETRY_AFTER_MS),
            ),
        }
    }
}

/// Returns the hexadecimal SHA-256 digest of `parts`, each taken with its length.
pub(super) fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    to_hex(&hasher.finalize())
}
