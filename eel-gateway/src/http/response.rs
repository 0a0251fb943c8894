//! Builds HTTP responses to callers.

use bytes::Bytes;
use eel_platform::format_retry_after;
use eel_verdict::Refusal;
use futures_util::Stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// The header with the verdict on a refused request: whether it may have run.
const VERDICT: &str = "x-eel-verdict";

/// The error of a truncated response; hyper then aborts the connection, so that the caller cannot take the response for
/// a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response is truncated")]
pub struct TruncatedResponse;

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, TruncatedResponse>;

/// Returns a body whose bytes are all known.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that is streamed in `pieces`.
pub fn streamed(
    pieces: impl Stream<Item = Result<Bytes, TruncatedResponse>> + Send + 'static,
) -> Body {
    use futures_util::StreamExt as _;
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns the final response to a refused request, with its verdict and the time to wait before a retry.
pub fn refuse(refusal: &Refusal) -> Response<Body> {
    let status =
        StatusCode::from_u16(refusal.reason.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(full(format!("{refusal}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(VERDICT, HeaderValue::from_static(refusal.verdict.as_str()));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(header::RETRY_AFTER, format_retry_after(retry_after_ms));
    }
    response
}
