//! Serves one online request.

use std::{sync::Arc, time::Instant};

use bytes::{Bytes, BytesMut};
use eel_fleet::TargetEntry;
use eel_platform::copy_response_headers;
use eel_table::{Route, RouteKind, Tenant};
use eel_verdict::{Reason, Refusal};
use http::{HeaderMap, Response, StatusCode, Version, header, request::Parts};
use tokio_util::sync::CancellationToken;

use super::{
    attempts::Attempts,
    request::{Request, whole_ms},
    run::run_attempts,
    stream::Relay,
};
use crate::{
    context::Context,
    http::{Body, full, refuse},
    origins,
    quarantine::{self, Admission},
    quotas::QuotaPermit,
    target::{AttemptFailure, TargetResponse},
};

/// The body size up to which responses are buffered, so that the request can be retried if the response is truncated. A
/// response that does not state its size is buffered as well, unless it is a successful stream.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Serves one request of `route`.
pub async fn serve(
    context: Arc<Context>,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
    permit: Option<QuotaPermit>,
    head: Parts,
    body: Bytes,
) -> Response<Body> {
    let version = head.version;
    let Some(mut request) = Request::new(context, route, tenant, head, body) else {
        return refuse(&Refusal::not_run(Reason::NoTarget));
    };
    let mut attempts = Attempts::default();
    request.permit = permit;
    if request.context.may_end_before(request.deadline) {
        return log_refusal(&request, &attempts, &attempts.leave());
    }
    let refusing = request.context.refusing.clone();
    let obtained = unless_cancelled(&refusing, obtain_response(&mut request, &mut attempts)).await;
    let served = match obtained.unwrap_or_else(|| Err(attempts.leave())) {
        // In HTTP/1.0 a truncated response looks complete unless its length is stated.
        Ok(Served::Stream(..)) if version < Version::HTTP_11 => {
            Err(Refusal::may_have_run(Reason::TargetFailed))
        }
        served => served,
    };
    match served {
        Ok(Served::Complete(response)) => {
            log_end(&request, &attempts, response.status(), "answered");
            response
        }
        Ok(Served::Stream(target_response, start)) => {
            serve_stream(Relay::new(request, attempts, *target_response, start)).await
        }
        Err(refusal) => log_refusal(&request, &attempts, &refusal),
    }
}

/// Responds once the stream has started: before that, a failure still has a status.
async fn serve_stream(mut relay: Relay) -> Response<Body> {
    let refusing = relay.request.context.refusing.clone();
    let started = unless_cancelled(&refusing, relay.read_start()).await;
    let started = started.unwrap_or_else(|| Err(relay.attempts.leave()));
    let (request, attempts) = (&relay.request, &relay.attempts);
    match started {
        Ok(()) => {
            log_end(request, attempts, relay.status, "streaming");
            relay.into_response()
        }
        Err(refusal) => log_refusal(request, attempts, &refusal),
    }
}

/// Waits for `outcome`; `None` once `cancelled` is cancelled, so that no request starts in a slot that the refusal of
/// another one has released.
async fn unless_cancelled<T>(
    cancelled: &CancellationToken,
    outcome: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        () = cancelled.cancelled() => None,
        outcome = outcome => Some(outcome),
    }
}

fn log_refusal(request: &Request, attempts: &Attempts, refusal: &Refusal) -> Response<Body> {
    let response = refuse(refusal);
    log_end(
        request,
        attempts,
        response.status(),
        refusal.reason.as_str(),
    );
    response
}

enum Served {
    Complete(Response<Body>),
    /// A response that is passed on as it arrives, and the start of its body.
    Stream(Box<TargetResponse>, Bytes),
}

async fn obtain_response(
    request: &mut Request,
    attempts: &mut Attempts,
) -> Result<Served, Refusal> {
    match quarantine::admit(&request.context, &request.outgoing.suspects).await {
        Admission::Pass => {}
        Admission::Trial(trial) => request.trial = Some(trial),
        Admission::Block => return Err(attempts.block()),
    }
    if request.resumes_stream() {
        let resumes = request.resumes.as_deref();
        let version = origins::version_of(&request.context, &request.service, resumes).await;
        request.version = Some(version.inspect_err(|refusal| log_unknown(request, refusal))?);
    }
    loop {
        let last_event_id = request.last_event_id;
        let mut target_response = run_attempts(request, attempts, last_event_id).await?;
        if last_event_id.is_some() {
            log_resumed(request, &target_response.slot.target);
        }
        let is_stream = matches!(request.route.kind, RouteKind::Stream { .. });
        if (is_stream && target_response.status.is_success()) || is_large(&target_response) {
            return Ok(Served::Stream(Box::new(target_response), Bytes::new()));
        }
        let key = target_response.slot.key;
        match read_body(&mut target_response, request.deadline).await {
            Ok(Buffered::Start(start)) => {
                return Ok(Served::Stream(Box::new(target_response), start));
            }
            Ok(Buffered::Whole(body)) => {
                let response =
                    to_response(target_response.status, &target_response.headers, full(body));
                let is_failure = target_response.status.is_server_error();
                if target_response.status.is_success() {
                    target_response.slot.on_plain_end();
                    quarantine::on_completed(&request.context, &request.outgoing.suspects);
                }
                target_response.finish(&request.context.pool);
                if !is_failure || !should_retry(request, attempts) {
                    return Ok(Served::Complete(response));
                }
                attempts.on_failure(AttemptFailure::InvalidResponse);
            }
            Err(failure) => {
                attempts.on_failure(failure);
                if failure == AttemptFailure::InvalidResponse {
                    let target = &target_response.slot.target;
                    let (context, outgoing) = (&request.context, &request.outgoing);
                    quarantine::on_early_end(context, target, outgoing).await;
                }
                if !attempts.may_start(&request.route, request.has_response) {
                    return Err(attempts.give_up());
                }
            }
        }
        request.exclude(key);
    }
}

/// Returns whether to retry after a target's own error; otherwise the error is forwarded to the caller.
fn should_retry(request: &Request, attempts: &Attempts) -> bool {
    let mut after = *attempts;
    after.on_failure(AttemptFailure::InvalidResponse);
    after.may_start(&request.route, request.has_response) && Instant::now() < request.deadline
}

fn is_large(target_response: &TargetResponse) -> bool {
    use hyper::body::Body as _;
    target_response.body.size_hint().lower() > MAX_BUFFERED_RESPONSE_BYTES as u64
}

/// The body of a response, or the start of one that is too long to be buffered.
enum Buffered {
    Whole(Bytes),
    Start(Bytes),
}

async fn read_body(
    target_response: &mut TargetResponse,
    deadline: Instant,
) -> Result<Buffered, AttemptFailure> {
    let Some(first) = target_response.next(deadline).await? else {
        return Ok(Buffered::Whole(Bytes::new()));
    };
    let mut bytes = BytesMut::from(first);
    while let Some(more) = target_response.next(deadline).await? {
        bytes.extend_from_slice(&more);
        if bytes.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return Ok(Buffered::Start(bytes.freeze()));
        }
    }
    Ok(Buffered::Whole(bytes.freeze()))
}

/// Builds the response to the caller from the status and headers of a target's response.
pub fn to_response(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let mut headers = copy_response_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}

fn log_unknown(request: &Request, refusal: &Refusal) {
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), service = request.service.as_str(),
        resumes = request.resumes.as_deref().unwrap_or_default(), reason = refusal.reason.as_str();
        "The version that began a caller's stream is not known."
    );
}

fn log_resumed(request: &Request, target: &TargetEntry) {
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), service = request.service.as_str(),
        resumes = request.resumes.as_deref().unwrap_or_default(), last_event_id = request.last_event_id.unwrap_or(0),
        target_id = target.id.as_str(), version = target.version_text();
        "A target resumes a caller's stream."
    );
}

fn log_end(request: &Request, attempts: &Attempts, status: StatusCode, outcome: &'static str) {
    let context = &request.context;
    context.metrics.count_request(outcome);
    let routes_version = context.routes_version().unwrap_or(0);
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), route = request.route.name.as_str(),
        service = request.service.as_str(), tenant = request.tenant_name(), routes_version, status = status.as_u16(), outcome,
        verdict = attempts.verdict().as_str(),
        failed_attempts = attempts.may_have_run, waited_ms = whole_ms(request.waited),
        total_ms = whole_ms(request.arrived.elapsed());
        "A request was decided."
    );
}
