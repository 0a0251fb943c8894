//! The value stored in the key-value service under an idempotency key.

use bytes::Bytes;
use eel_types::{Name, to_hex};
use eel_verdict::{Reason, Refusal};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The longest response body that is stored for resends.
pub(super) const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024;
/// The retry delay given to the caller of a resend while the first request is still running.
const RETRY_AFTER_MS: u64 = 1_000;

/// A claim and, once the request has completed, its response. Encoded with postcard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredClaim {
    /// A random number that is unique to this claim.
    pub(super) token: u128,
    /// The digest of the request's method, path and body, in hexadecimal.
    pub(super) digest: Name,
    /// The response; absent until the request completes, and always if its body is too long to store.
    pub(super) answer: Option<StoredResponse>,
}

/// A response stored for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResponse {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The `content-type` header, if the response had one in UTF-8.
    pub(crate) content_type: Option<Name>,
    /// The complete body.
    pub(crate) body: Bytes,
}

/// The result of a request whose idempotency key is already claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ResendOutcome {
    /// The stored response of the first request is returned.
    Response(StoredResponse),
    /// The request is refused: the first one is still running, or its content differs.
    Refuse(Refusal),
}

impl StoredClaim {
    pub(super) fn to_value(&self) -> Bytes {
        Bytes::from(postcard::to_allocvec(self).unwrap_or_default())
    }

    pub(super) fn from_value(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }

    /// Decides the result of a request with content `digest` that found this claim under its key.
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

/// Returns the hexadecimal SHA-256 digest of `parts`, each prefixed with its length as a little-endian `u64`.
pub(super) fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    to_hex(&hasher.finalize())
}
