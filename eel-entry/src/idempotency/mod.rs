//! At most one execution of a request that is not repeatable, across resends under one `idempotency-key`.
//!
//! Before the first attempt the entry node creates a claim in the key-value service; whichever entry node a resend
//! reaches finds it. The claim is attached to a lease that nobody renews, so that it goes away by itself.

mod claim;
mod lease;
mod stored_claim;

pub(crate) use claim::{Claim, Claims, Outcome};
pub(crate) use stored_claim::StoredResponse;
