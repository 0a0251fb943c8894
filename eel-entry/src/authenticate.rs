//! Authenticates callers by their bearer keys.

use std::collections::HashMap;

use eel_record::Snapshot;
use eel_types::{Name, to_hex};
use eel_verdict::{Reason, Refusal};
use http::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest as _, Sha256};

const SCHEME: &str = "Bearer ";

/// Maps the SHA-256 digest of each key, in lower-case hexadecimal, to the name of its caller.
#[derive(Debug, Default)]
pub(crate) struct CallerIndex {
    by_digest: HashMap<Name, Name>,
}

impl CallerIndex {
    pub(crate) fn new(snapshot: &Snapshot) -> Self {
        let by_digest = snapshot
            .callers
            .iter()
            .flat_map(|(name, caller)| {
                let digests = caller.key_sha256.iter();
                digests.map(|digest| (digest.clone(), name.clone()))
            })
            .collect();
        Self { by_digest }
    }

    /// Returns the name of the caller whose key the `Authorization` header carries.
    ///
    /// # Errors
    ///
    /// [`Reason::Unauthorized`] if the key is missing, malformed or unknown.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<Name, Refusal> {
        let unauthorized = Refusal::not_run(Reason::Unauthorized);
        let key = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix(SCHEME))
            .ok_or(unauthorized)?;
        let digest = to_hex(&Sha256::digest(key.as_bytes()));
        let caller = self.by_digest.get(digest.as_str());
        caller.cloned().ok_or(unauthorized)
    }
}
