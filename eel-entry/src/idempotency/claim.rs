//! Creates, releases and completes claims on idempotency keys.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use eel_route::TokenBucket;
use eel_store::{
    CommitOutcome, Compare, EtcdJson, KeyValue as _, Op, StoreError, Txn, WriteToken,
    commit_and_resolve,
};
use eel_types::Clock;
use eel_verdict::{Reason, Refusal};

use super::{
    lease::ClaimLease,
    stored_claim::{MAX_STORED_RESPONSE_BYTES, ResendOutcome, StoredClaim, StoredResponse, digest},
};
use crate::serve::Request;

/// The rate at which this node may write claims. The store serves the whole fleet, so each node limits its share.
const CLAIMS_PER_S: u32 = 50;
/// The number of claims that this node may write at once after a pause.
const CLAIM_BURST: u32 = 200;
/// The retry delay given to callers while the store does not respond.
const STORE_RETRY_AFTER_MS: u64 = 1_000;

/// Writes claims to the key-value service, at a limited rate.
pub(crate) struct Claims {
    store: EtcdJson,
    prefix: String,
    clock: Clock,
    lease: ClaimLease,
    rate_limiter: Mutex<TokenBucket>,
}

/// A claim held by a request of this process.
#[derive(Debug)]
pub(crate) struct Claim {
    key: String,
    stored: StoredClaim,
}

/// The result of an attempt to claim a key.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The key was free and is now claimed; the request may be sent.
    Claimed(Claim),
    /// An earlier copy of the request has completed with this response.
    Completed(StoredResponse),
}

impl Claims {
    pub(crate) fn new(store: EtcdJson, prefix: &str, clock: Clock) -> Self {
        let rate_limiter = TokenBucket::new(clock.now_ms(), CLAIMS_PER_S, CLAIM_BURST);
        Self {
            store,
            prefix: format!("{prefix}/idempotent/1/"),
            clock,
            lease: ClaimLease::default(),
            rate_limiter: Mutex::new(rate_limiter),
        }
    }

    /// Claims `idempotency_key` for `request`, which must not be sent without the claim.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if the claim rate is exceeded, the store does not respond, or a request with
    /// other content holds the key; as may-have-run if an earlier copy of the request holds the key and has no response
    /// yet.
    pub(crate) async fn claim(
        &self,
        request: &Request,
        idempotency_key: &[u8],
    ) -> Result<Outcome, Refusal> {
        self.check_rate()?;
        let claim = self.new_claim(request, idempotency_key);
        let unavailable =
            Refusal::not_run(Reason::StoreUnavailable).retry_after(STORE_RETRY_AFTER_MS);
        let lease = self.lease.get(self.clock.now_ms(), &self.store).await;
        let lease = lease.map_err(|_| unavailable)?;
        let value = claim.stored.to_value();
        let txn = Txn {
            compares: vec![Compare::Absent {
                key: claim.key.clone(),
            }],
            success: vec![Op::Put {
                key: claim.key.clone(),
                value: value.clone(),
                lease: Some(lease),
            }],
            failure: Vec::new(),
        };
        let token = WriteToken {
            key: claim.key.clone(),
            value,
        };
        match commit_and_resolve(&self.store, &txn, &token).await {
            Ok(CommitOutcome::Applied { .. }) => Ok(Outcome::Claimed(claim)),
            Ok(CommitOutcome::NotApplied { current }) => match current {
                Some(pair) => on_existing(&pair.value, &claim.stored.digest),
                None => Err(unavailable),
            },
            Ok(CommitOutcome::Unknown) => {
                self.release(claim).await;
                Err(unavailable)
            }
            Err(error) => {
                if matches!(error.current_context(), StoreError::Rejected(_)) {
                    self.lease.discard().await;
                }
                Err(unavailable)
            }
        }
    }

    /// Deletes the claim of a request that did not run and never will, so that a resend can claim the key.
    pub(crate) async fn release(&self, claim: Claim) {
        let txn = Txn {
            compares: vec![claim.unchanged()],
            success: vec![Op::Delete {
                key: claim.key.clone(),
            }],
            failure: Vec::new(),
        };
        if let Err(error) = self.store.commit(&txn).await {
            log::warn!(target: "idempotency", "Cannot release a claim: {error}.");
        }
    }

    /// Stores the response of a claimed request for resends, unless its body exceeds [`MAX_STORED_RESPONSE_BYTES`].
    pub(crate) async fn store_response(&self, claim: Claim, response: StoredResponse) {
        if response.body.len() > MAX_STORED_RESPONSE_BYTES {
            return;
        }
        let Ok(lease) = self.lease.get(self.clock.now_ms(), &self.store).await else {
            return;
        };
        let compares = vec![claim.unchanged()];
        let completed = StoredClaim {
            answer: Some(response),
            ..claim.stored
        };
        let txn = Txn {
            compares,
            success: vec![Op::Put {
                key: claim.key,
                value: completed.to_value(),
                lease: Some(lease),
            }],
            failure: Vec::new(),
        };
        if let Err(error) = self.store.commit(&txn).await {
            log::warn!(target: "idempotency", "Cannot store a response for resends: {error}.");
        }
    }

    fn check_rate(&self) -> Result<(), Refusal> {
        let now_ms = self.clock.now_ms();
        let mut rate_limiter = self
            .rate_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        rate_limiter
            .try_take(now_ms)
            .map_err(|wait_ms| Refusal::not_run(Reason::Overloaded).retry_after(wait_ms))
    }

    fn new_claim(&self, request: &Request, idempotency_key: &[u8]) -> Claim {
        let name = digest(&[
            request.caller.as_bytes(),
            request.service.as_bytes(),
            idempotency_key,
        ]);
        let content = digest(&[
            request.method.as_bytes(),
            request.path.as_bytes(),
            &request.body,
        ]);
        Claim {
            key: format!("{}{name}", self.prefix),
            stored: StoredClaim {
                token: rand::random(),
                digest: content.into(),
                answer: None,
            },
        }
    }
}

impl Claim {
    /// Returns the condition that the stored claim is still the one written by this request.
    fn unchanged(&self) -> Compare {
        Compare::Value {
            key: self.key.clone(),
            value: self.stored.to_value(),
        }
    }
}

fn on_existing(value: &Bytes, digest: &str) -> Result<Outcome, Refusal> {
    let Some(stored) = StoredClaim::from_value(value) else {
        return Err(Refusal::may_have_run(Reason::Conflict));
    };
    match stored.on_resend(digest) {
        ResendOutcome::Response(response) => Ok(Outcome::Completed(response)),
        ResendOutcome::Refuse(refusal) => Err(refusal),
    }
}
