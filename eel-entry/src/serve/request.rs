//! A request that has passed intake.

use bytes::Bytes;
use eel_types::{Class, Name, RequestId};
use eel_wire::message::Header;

/// A request ready to be sent to a target.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) caller: Name,
    pub(crate) service: Name,
    pub(crate) pool: Name,
    pub(crate) class: Class,
    pub(crate) deadline_ms: u64,
    pub(crate) repeatable: bool,
    pub(crate) method: Name,
    pub(crate) path: Name,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// The hash of the prompt's beginning, which engines may have cached.
    pub(crate) prefix_hash: Option<u64>,
}

/// Names the request across resends.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

impl Request {
    /// Returns the caller's idempotency key.
    pub(crate) fn idempotency_key(&self) -> Option<&[u8]> {
        let mut headers = self.headers.iter();
        let header = headers.find(|header| header.name.as_str() == IDEMPOTENCY_KEY);
        header.map(|header| &header.value[..])
    }

    /// Returns whether the request may only be sent under a claim on its idempotency key.
    pub(crate) fn needs_claim(&self) -> bool {
        !self.repeatable && self.idempotency_key().is_some()
    }
}
