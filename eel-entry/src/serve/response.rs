//! Writes responses and refusals to HTTP.

use std::{io, sync::Arc};

use bytes::Bytes;
use eel_events::is_event_stream;
use eel_types::RequestId;
use eel_verdict::Refusal;
use eel_wire::message::ReplyHead;
use futures_util::{Stream, stream};
use http::{
    HeaderName, HeaderValue, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use salvo::Response;
use serde::Serialize;

use super::{
    guard::OpenRequest,
    run::{StreamedResponse, TargetResponse},
};
use crate::{
    link::ReplyPart,
    metrics::{Metrics, RefusalLabels},
};

/// The header that carries the request id.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-eel-request-id");
/// The header that tells whether a refused request may have run.
const VERDICT: HeaderName = HeaderName::from_static("x-eel-verdict");
/// The header that carries the retry delay in milliseconds; `retry-after` carries it in seconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-eel-retry-after-ms");

/// Returns whether the response is a stream of server-sent events.
pub(super) fn has_events(head: &ReplyHead) -> bool {
    head.headers.iter().any(|header| {
        header.name.as_str() == CONTENT_TYPE.as_str() && is_event_stream(&header.value)
    })
}

/// Writes `response` to `res`. A streamed response holds `open` until it has ended.
pub(super) fn write(
    res: &mut Response,
    id: RequestId,
    response: TargetResponse,
    open: OpenRequest,
    metrics: &Arc<Metrics>,
) {
    write_id(res, id);
    match response {
        TargetResponse::Complete { head, body } => {
            write_head(res, &head);
            let _ = res.write_body(body);
            metrics.answers.inc();
        }
        TargetResponse::Stream(streaming) => {
            write_head(res, &streaming.head);
            res.stream(body_stream(streaming, open, metrics.clone()));
        }
    }
}

fn write_id(res: &mut Response, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        res.headers_mut().insert(REQUEST_ID, value);
    }
}

fn write_head(res: &mut Response, head: &ReplyHead) {
    res.status_code(StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY));
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            res.headers_mut().append(name, value);
        }
    }
}

/// The state of a streamed response body.
struct Body {
    buffered: std::vec::IntoIter<Bytes>,
    streaming: Option<Box<StreamedResponse>>,
    is_event_stream: bool,
    failed: bool,
    metrics: Arc<Metrics>,
    _open: OpenRequest,
}

fn body_stream(
    mut streaming: Box<StreamedResponse>,
    open: OpenRequest,
    metrics: Arc<Metrics>,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let body = Body {
        buffered: std::mem::take(&mut streaming.buffered).into_iter(),
        is_event_stream: has_events(&streaming.head),
        streaming: Some(streaming),
        failed: false,
        metrics,
        _open: open,
    };
    stream::unfold(body, next_part)
}

async fn next_part(mut body: Body) -> Option<(io::Result<Bytes>, Body)> {
    if let Some(part) = body.buffered.next() {
        return Some((Ok(part), body));
    }
    if body.failed {
        body.failed = false;
        return Some((Err(io::Error::other("the response was truncated")), body));
    }
    let mut streaming = body.streaming.take()?;
    match streaming.reply.next().await {
        Ok(ReplyPart::Data(data)) => {
            body.streaming = Some(streaming);
            Some((Ok(data), body))
        }
        Ok(ReplyPart::End(load)) => {
            streaming.recorder.record_complete(load);
            body.metrics.answers.inc();
            None
        }
        Err(refusal) => {
            streaming.recorder.record_failure(&refusal);
            body.metrics.cut_streams.inc();
            Some(truncate_body(body, &refusal))
        }
    }
}

/// Ends a truncated response so that the caller cannot take it for a complete one: an event stream sends the error as
/// its last event, and the connection is aborted.
fn truncate_body(mut body: Body, refusal: &Refusal) -> (io::Result<Bytes>, Body) {
    if body.is_event_stream {
        body.failed = true;
        let text = serde_json::to_string(&ErrorBody::new(refusal)).unwrap_or_default();
        return (Ok(Bytes::from(format!("data: {text}\n\n"))), body);
    }
    (Err(io::Error::other("the response was truncated")), body)
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Serialize)]
struct ErrorDetail {
    r#type: &'static str,
    message: String,
    verdict: &'static str,
    retry_after_ms: Option<u64>,
}

impl ErrorBody {
    fn new(refusal: &Refusal) -> Self {
        Self {
            error: ErrorDetail {
                r#type: refusal.reason.as_str(),
                message: format!("The request ended without an answer: {refusal}."),
                verdict: refusal.verdict.as_str(),
                retry_after_ms: refusal.retry_after_ms,
            },
        }
    }
}

/// Writes a refusal: its status, its verdict and the retry delay.
pub(crate) fn write_refusal(
    res: &mut Response,
    id: RequestId,
    refusal: &Refusal,
    metrics: &Metrics,
) {
    let labels = RefusalLabels {
        reason: refusal.reason.as_str(),
        verdict: refusal.verdict.as_str(),
    };
    metrics.refusals.get_or_create(&labels).inc();
    write_id(res, id);
    let status = StatusCode::from_u16(refusal.reason.http_status());
    res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    let headers = res.headers_mut();
    headers.insert(VERDICT, HeaderValue::from_static(refusal.verdict.as_str()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
        headers.insert(RETRY_AFTER_MS, retry_after_ms.into());
    }
    let body = serde_json::to_vec(&ErrorBody::new(refusal)).unwrap_or_default();
    let _ = res.write_body(body);
}
