//! Requests that are sent only under a claim on their idempotency key.

use std::sync::Arc;

use bytes::Bytes;
use eel_telemetry::trace::Span;
use eel_types::{Attempt, RequestId, RequestKey};
use eel_verdict::{Reason, Refusal, Verdict};
use eel_wire::message::{Header, ReplyHead};

use http::header::CONTENT_TYPE;

use super::{
    request::Request,
    run::{Answer, run},
};
use crate::{
    idempotency::{Claim, KeptAnswer, Outcome},
    node::Context,
};

/// Marks an answer that was kept from an earlier copy of the request.
const REPLAYED: &str = "idempotency-replayed";
/// The longest idempotency key, in bytes.
const LONGEST_KEY_BYTES: usize = 255;

/// Claims the request's idempotency key and runs it, or returns the answer of an earlier copy.
///
/// The request runs to its end even if its caller goes away, so that a resend finds the answer.
///
/// # Errors
///
/// The final refusal.
pub(super) async fn run_claimed(
    context: Arc<Context>,
    request: Request,
    span: Span,
) -> Result<Answer, Refusal> {
    let key = request.idempotency_key().unwrap_or_default();
    if key.len() > LONGEST_KEY_BYTES {
        return Err(Refusal::not_run(Reason::BadRequest));
    }
    match context.claims.claim(&request, key).await? {
        Outcome::Answered(kept) => Ok(replay(request.id, kept)),
        Outcome::Claimed(claim) => {
            let ran = tokio::spawn(run_and_keep(context, request, claim, span));
            let lost = Refusal::may_have_run(Reason::TargetFailed);
            ran.await.unwrap_or(Err(lost))
        }
    }
}

async fn run_and_keep(
    context: Arc<Context>,
    request: Request,
    claim: Claim,
    span: Span,
) -> Result<Answer, Refusal> {
    let answer = run(&context, &request, &span).await;
    match &answer {
        Ok(Answer::Whole { head, body }) => {
            let kept = to_kept(head, body.clone());
            tokio::spawn(async move { context.claims.keep(claim, kept).await });
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => {
            tokio::spawn(async move { context.claims.release(claim).await });
        }
        // The claim stays: a resend hears that the request may have run.
        Ok(Answer::Stream(_)) | Err(_) => {}
    }
    answer
}

fn to_kept(head: &ReplyHead, body: Bytes) -> KeptAnswer {
    let mut headers = head.headers.iter();
    let content_type = headers.find(|header| header.name.as_str() == CONTENT_TYPE.as_str());
    let content_type = content_type.and_then(|header| std::str::from_utf8(&header.value).ok());
    KeptAnswer {
        status: head.status,
        content_type: content_type.map(Into::into),
        body,
    }
}

fn replay(id: RequestId, kept: KeptAnswer) -> Answer {
    let header = |name: &str, value: &str| Header {
        name: name.into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    let content_type = kept.content_type.as_deref();
    let mut headers: Vec<Header> = content_type
        .map(|value| header(CONTENT_TYPE.as_str(), value))
        .into_iter()
        .collect();
    headers.push(header(REPLAYED, "true"));
    Answer::Whole {
        head: ReplyHead {
            key: RequestKey {
                id,
                attempt: Attempt(0),
            },
            status: kept.status,
            headers,
        },
        body: kept.body,
    }
}
