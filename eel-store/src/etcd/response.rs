//! Converts etcd's response messages to outcomes.

use base64::{Engine as _, prelude::BASE64_STANDARD};
use bytes::Bytes;
use eel_types::Revision;

use super::message;
use crate::{KeyValuePair, Lease, LeaseId, OpOutcome, RangeOutcome, TxnOutcome};

const MS_PER_S: u64 = 1000;

/// A response that does not conform to the JSON mapping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response of the store is malformed")]
pub struct Malformed;

fn decode(text: &str) -> Result<Vec<u8>, Malformed> {
    BASE64_STANDARD.decode(text).map_err(|_| Malformed)
}

pub fn key(kv: &message::Kv) -> Result<String, Malformed> {
    String::from_utf8(decode(&kv.key)?).map_err(|_| Malformed)
}

pub fn pair(kv: &message::Kv) -> Result<KeyValuePair, Malformed> {
    Ok(KeyValuePair {
        key: key(kv)?,
        value: Bytes::from(decode(&kv.value)?),
        create_revision: Revision(kv.create_revision),
        mod_revision: Revision(kv.mod_revision),
        version: kv.version,
        lease: (kv.lease != 0).then_some(LeaseId(kv.lease)),
    })
}

pub fn range(response: &message::RangeResponse) -> Result<RangeOutcome, Malformed> {
    Ok(RangeOutcome {
        kvs: response.kvs.iter().map(pair).collect::<Result<_, _>>()?,
        revision: Revision(response.header.as_ref().map_or(0, |h| h.revision)),
        count: response.count,
        more: response.more,
    })
}

fn op(response: &message::ResponseOp) -> Result<OpOutcome, Malformed> {
    Ok(match response {
        message::ResponseOp::Range(response) => OpOutcome::Range(range(response)?),
        message::ResponseOp::Put(_) => OpOutcome::Put,
        message::ResponseOp::DeleteRange(response) => OpOutcome::Delete {
            deleted: response.deleted,
        },
    })
}

pub fn txn(response: &message::TxnResponse) -> Result<TxnOutcome, Malformed> {
    let header = response.header.as_ref().ok_or(Malformed)?;
    Ok(TxnOutcome {
        succeeded: response.succeeded,
        revision: Revision(header.revision),
        responses: response
            .responses
            .iter()
            .map(op)
            .collect::<Result<_, _>>()?,
    })
}

/// Converts a lease response; returns `None` if the lease has expired.
pub fn lease(response: &message::LeaseResponse) -> Option<Lease> {
    let ttl_s = u64::try_from(response.ttl_s)
        .ok()
        .filter(|ttl_s| *ttl_s > 0)?;
    Some(Lease {
        id: LeaseId(response.id),
        ttl_ms: ttl_s * MS_PER_S,
    })
}
