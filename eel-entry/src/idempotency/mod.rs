//! Runs a non-repeatable request at most once across resends with the same `idempotency-key`.
//!
//! Before the first attempt, the entry node writes a claim to the key-value service, where every entry node that
//! receives a resend finds it. The claim is attached to a lease that is never renewed, so it expires without cleanup.

mod claim;
mod lease;
mod stored_claim;

pub(crate) use claim::{Claim, Claims, Outcome};
pub(crate) use stored_claim::StoredResponse;
