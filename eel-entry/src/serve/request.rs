//! The request of a caller after authentication and service lookup.

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
    /// The hash of the prompt prefix, used to prefer engines that have the prefix cached; absent for other protocols.
    pub(crate) prefix_hash: Option<u64>,
}

/// The header that identifies a request across resends.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

impl Request {
    /// Returns the value of the `idempotency-key` header.
    pub(crate) fn idempotency_key(&self) -> Option<&[u8]> {
        let mut headers = self.headers.iter();
        let header = headers.find(|header| header.name.as_str() == IDEMPOTENCY_KEY);
        header.map(|header| &header.value[..])
    }

    /// Returns whether the request needs a claim on its idempotency key before it is sent.
    pub(crate) fn needs_claim(&self) -> bool {
        !self.repeatable && self.idempotency_key().is_some()
    }
}
