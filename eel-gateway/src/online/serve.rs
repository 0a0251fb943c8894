//! Serves one online request.

use std::{sync::Arc, time::Instant};

use bytes::{Bytes, BytesMut};
use eel_platform::copy_response_headers;
use eel_table::{Route, RouteKind};
use eel_verdict::{Reason, Refusal};
use http::{HeaderMap, Response, StatusCode, header, request::Parts};

use super::{
    plan::Attempts,
    request::{Request, whole_ms},
    run::ask,
    stream,
};
use crate::{
    context::Context,
    http::{Body, full, refuse},
    target::{Answer, Failure},
};

/// The size up to which responses are buffered, so that the request can be retried if the response is truncated.
const WHOLE_ANSWER_BYTES: usize = 256 * 1024;

/// Serves one request of `route`.
pub async fn serve(
    context: Arc<Context>,
    route: Arc<Route>,
    head: Parts,
    body: Bytes,
) -> Response<Body> {
    let Some(mut request) = Request::new(context, route, head, body) else {
        return refuse(&Refusal::not_run(Reason::NoTarget));
    };
    let mut attempts = Attempts::default();
    match answer(&mut request, &mut attempts).await {
        Ok(Answered::Whole(response)) => {
            log_end(&request, &attempts, response.status(), "answered");
            response
        }
        Ok(Answered::Stream(answer)) => {
            log_end(&request, &attempts, answer.status, "streaming");
            stream::relay(request, attempts, *answer)
        }
        Err(refusal) => {
            let response = refuse(&refusal);
            log_end(
                &request,
                &attempts,
                response.status(),
                refusal.reason.as_str(),
            );
            response
        }
    }
}

enum Answered {
    Whole(Response<Body>),
    Stream(Box<Answer>),
}

async fn answer(request: &mut Request, attempts: &mut Attempts) -> Result<Answered, Refusal> {
    loop {
        let last_event_id = request.last_event_id;
        let mut answer = ask(request, attempts, last_event_id).await?;
        let is_stream = matches!(request.route.kind, RouteKind::Stream { .. });
        if (is_stream && answer.status.is_success()) || is_large(&answer) {
            return Ok(Answered::Stream(Box::new(answer)));
        }
        let key = answer.held.key;
        match read_whole(&mut answer, request.deadline).await {
            Ok(body) => {
                let response = to_response(answer.status, &answer.headers, full(body));
                let is_failure = answer.status.is_server_error();
                answer.finish(&request.context.pool);
                if !is_failure || !may_ask_again(request, attempts) {
                    return Ok(Answered::Whole(response));
                }
                attempts.on_failure(Failure::Broken);
            }
            Err(failure) => {
                attempts.on_failure(failure);
                if !attempts.may_go_on(&request.route) {
                    return Err(attempts.give_up());
                }
            }
        }
        request.exclude(key);
    }
}

/// Returns whether to retry after a target's own error; otherwise the error is forwarded to the caller.
fn may_ask_again(request: &Request, attempts: &Attempts) -> bool {
    let mut after = *attempts;
    after.on_failure(Failure::Broken);
    after.may_go_on(&request.route) && Instant::now() < request.deadline
}

fn is_large(answer: &Answer) -> bool {
    use hyper::body::Body as _;
    answer.body.size_hint().lower() > WHOLE_ANSWER_BYTES as u64
}

async fn read_whole(answer: &mut Answer, deadline: Instant) -> Result<Bytes, Failure> {
    let Some(first) = answer.next(deadline).await? else {
        return Ok(Bytes::new());
    };
    let mut whole = BytesMut::from(first);
    while let Some(more) = answer.next(deadline).await? {
        whole.extend_from_slice(&more);
    }
    Ok(whole.freeze())
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

fn log_end(request: &Request, attempts: &Attempts, status: StatusCode, outcome: &'static str) {
    let context = &request.context;
    context.metrics.count_request(outcome);
    let routes_version = context.routes_version().unwrap_or(0);
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), route = request.route.name.as_str(),
        service = request.service.as_str(), routes_version, status = status.as_u16(), outcome,
        failed_attempts = attempts.may_have_run, waited_ms = whole_ms(request.waited),
        total_ms = whole_ms(request.arrived.elapsed());
        "A request was decided."
    );
}
