//! Runs requests that need a claim on their idempotency key.

use std::sync::Arc;

use bytes::Bytes;
use eel_telemetry::trace::Span;
use eel_types::{Attempt, RequestId, RequestKey};
use eel_verdict::{Reason, Refusal, Verdict};
use eel_wire::message::{Header, ReplyHead};

use http::header::CONTENT_TYPE;

use super::{
    request::Request,
    run::{TargetResponse, run},
};
use crate::{
    idempotency::{Claim, Outcome, StoredResponse},
    node::Context,
};

/// The header that marks a stored response of an earlier copy of the request.
const REPLAYED: &str = "idempotency-replayed";
/// The longest idempotency key that is accepted.
const MAX_KEY_BYTES: usize = 255;

/// Claims the request's idempotency key and runs the request, or returns the stored response of an earlier copy.
///
/// The request runs to its end even if the caller disconnects, so that a resend finds the response.
///
/// # Errors
///
/// The refusal of the claim, or the final refusal of the request.
pub(super) async fn run_claimed(
    context: Arc<Context>,
    request: Request,
    span: Span,
) -> Result<TargetResponse, Refusal> {
    let key = request.idempotency_key().unwrap_or_default();
    if key.len() > MAX_KEY_BYTES {
        return Err(Refusal::not_run(Reason::BadRequest));
    }
    match context.claims.claim(&request, key).await? {
        Outcome::Completed(stored) => Ok(replay(request.id, stored)),
        Outcome::Claimed(claim) => {
            let ran = tokio::spawn(run_and_store(context, request, claim, span));
            let lost = Refusal::may_have_run(Reason::TargetFailed);
            ran.await.unwrap_or(Err(lost))
        }
    }
}

async fn run_and_store(
    context: Arc<Context>,
    request: Request,
    claim: Claim,
    span: Span,
) -> Result<TargetResponse, Refusal> {
    let response = run(&context, &request, &span).await;
    match &response {
        Ok(TargetResponse::Complete { head, body }) => {
            let stored = to_stored(head, body.clone());
            tokio::spawn(async move { context.claims.store_response(claim, stored).await });
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => {
            tokio::spawn(async move { context.claims.release(claim).await });
        }
        // The claim is not deleted, so that a resend is refused as may-have-run.
        Ok(TargetResponse::Stream(_)) | Err(_) => {}
    }
    response
}

fn to_stored(head: &ReplyHead, body: Bytes) -> StoredResponse {
    let mut headers = head.headers.iter();
    let content_type = headers.find(|header| header.name.as_str() == CONTENT_TYPE.as_str());
    let content_type = content_type.and_then(|header| std::str::from_utf8(&header.value).ok());
    StoredResponse {
        status: head.status,
        content_type: content_type.map(Into::into),
        body,
    }
}

fn replay(id: RequestId, stored: StoredResponse) -> TargetResponse {
    let header = |name: &str, value: &str| Header {
        name: name.into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    let content_type = stored.content_type.as_deref();
    let mut headers: Vec<Header> = content_type
        .map(|value| header(CONTENT_TYPE.as_str(), value))
        .into_iter()
        .collect();
    headers.push(header(REPLAYED, "true"));
    TargetResponse::Complete {
        head: ReplyHead {
            key: RequestKey {
                id,
                attempt: Attempt(0),
            },
            status: stored.status,
            headers,
        },
        body: stored.body,
    }
}
