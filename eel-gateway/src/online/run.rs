//! Runs the attempts of one request until a target responds or the request is refused.
//!
//! A silent target may be sound. Its attempt therefore goes on while another target is tried beside it, and ends only when
//! that one has responded.

use std::{
    convert::Infallible,
    future::{Pending, pending},
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use eel_fleet::{Rejection, TargetEntry, TargetKey};
use eel_table::RouteKind;
use eel_verdict::Refusal;
use futures_util::future::{BoxFuture, FutureExt as _, select_all};
use tokio::time::sleep_until;

use super::{
    attempts::Attempts,
    request::{Request, whole_ms},
};
use crate::{
    quarantine::on_early_end,
    slots::SlotGuard,
    target::{AttemptFailure, TargetResponse, exchange, has_events},
};

/// How long a stream may be in flight at two targets. Two targets that both run it waste each other's work.
const MAX_STREAM_OVERLAP: Duration = Duration::from_millis(300);

/// An attempt whose response has started.
pub struct InFlight<F> {
    /// Reads what follows.
    pub read: F,
    /// When another target is tried beside it; `None` if no other one can continue the response.
    pub takeover_at: Option<Instant>,
}

/// What came first.
pub enum First<T> {
    /// What the attempt in flight has read.
    InFlight(T),
    /// The head of another target's response.
    Response(Box<TargetResponse>),
}

/// Sends the request to one target after another until one responds.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn run_attempts(
    request: &mut Request,
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
) -> Result<TargetResponse, Refusal> {
    let none = None::<InFlight<Pending<Result<Infallible, AttemptFailure>>>>;
    match run_beside(request, attempts, last_event_id, none).await? {
        First::InFlight(never) => match never {},
        First::Response(target_response) => Ok(*target_response),
    }
}

/// Reads what the attempt `in_flight` brings, and sends the request to other targets once it is silent or has failed.
///
/// # Errors
///
/// The refusal to send to the caller once no attempt is left.
pub async fn run_beside<T>(
    request: &mut Request,
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
    in_flight: Option<InFlight<impl Future<Output = Result<T, AttemptFailure>>>>,
) -> Result<First<T>, Refusal> {
    let continues = in_flight.is_some();
    let mut has_in_flight = continues;
    let first_start_at = in_flight
        .as_ref()
        .map_or_else(|| Some(Instant::now()), |it| it.takeover_at);
    let mut start_at = first_start_at.unwrap_or(request.deadline);
    let read = async {
        match in_flight {
            Some(in_flight) => in_flight.read.await,
            None => pending().await,
        }
    };
    let mut read = pin!(read);
    let mut running: Vec<Running> = Vec::new();
    loop {
        let is_idle = running.is_empty() && !has_in_flight;
        let may_start = first_start_at.is_some() && attempts.may_start(&request.route);
        if is_idle && Instant::now() >= request.deadline {
            return Err(attempts.time_out());
        }
        let is_blocked = is_blocked(request, attempts);
        let may_start = may_start && !is_blocked;
        if is_idle && !may_start {
            return Err(if is_blocked {
                attempts.block()
            } else {
                attempts.give_up()
            });
        }
        let overlap_end = overlap_end(request, &running, has_in_flight);
        let wake_at = overlap_end.unwrap_or(request.deadline);
        tokio::select! {
            biased;
            brought = read.as_mut(), if has_in_flight => match brought {
                Ok(brought) => return Ok(First::InFlight(brought)),
                Err(failure) => {
                    attempts.on_failure(failure);
                    has_in_flight = false;
                    start_at = Instant::now();
                    log::info!(
                        target: "online", request_id = request.outgoing.request_id.as_str(),
                        last_event_id = last_event_id.unwrap_or(0),
                        resumes = first_start_at.is_some() && attempts.may_start(&request.route);
                        "A stream from a target was interrupted: {failure}."
                    );
                }
            },
            (ended, response) = next_response(&mut running), if !running.is_empty() => {
                let is_last = running.is_empty() && !has_in_flight;
                match check(response, continues, is_last) {
                    Ok(target_response) => {
                        let older = running.iter().filter(|it| it.started < ended.started);
                        for silent in older {
                            request.context.slots.on_silence(silent.key);
                        }
                        return Ok(First::Response(target_response));
                    }
                    Err(failure) => {
                        attempts.on_failure(failure);
                        log_failure(request, attempts, &ended, failure);
                        if failure == AttemptFailure::InvalidResponse {
                            on_early_end(&request.context, &ended.target, &request.prompt).await;
                        }
                        start_at = Instant::now();
                    }
                }
            }
            acquired = acquire_slot_at(start_at, request), if may_start => match acquired {
                // It may have been blocked while it waited.
                Ok(_) if self::is_blocked(request, attempts) => {}
                Ok(slot) => {
                    attempts.on_start();
                    running.push(Running::start(request, slot, last_event_id));
                    start_at = Instant::now() + Attempts::takeover_delay(&request.route);
                }
                Err(rejection) if is_idle => {
                    log_rejection(request, &rejection);
                    return Err(attempts.reject(rejection.retry_after_ms));
                }
                Err(rejection) => {
                    start_at = Instant::now() + Duration::from_millis(rejection.retry_after_ms);
                }
            },
            () = sleep_until(wake_at.into()), if overlap_end.is_some() => {
                if let Some(newest) = running.pop() {
                    attempts.on_failure(AttemptFailure::TimedOut);
                    request.context.slots.on_silence(newest.key);
                    log_failure(request, attempts, &newest, AttemptFailure::TimedOut);
                }
            }
        }
    }
}

/// An attempt that has no response yet.
struct Running {
    key: TargetKey,
    target: TargetEntry,
    started: Instant,
    response: BoxFuture<'static, Result<TargetResponse, AttemptFailure>>,
}

impl Running {
    fn start(request: &mut Request, slot: SlotGuard, last_event_id: Option<u64>) -> Self {
        let (key, target) = (slot.key, slot.target.clone());
        request.exclude(key);
        let context = request.context.clone();
        let outgoing = Arc::clone(&request.outgoing);
        let deadline = request.deadline;
        let response = async move {
            let pool = &context.pool;
            exchange(pool, slot, &outgoing, last_event_id, deadline, deadline).await
        };
        Self {
            key,
            target,
            started: Instant::now(),
            response: response.boxed(),
        }
    }
}

/// Returns whether the request must not be sent to another target because its prompt crashes targets.
fn is_blocked(request: &Request, attempts: &Attempts) -> bool {
    let is_trial = request.is_trial && attempts.is_empty();
    !is_trial
        && !request.prompt.parts.is_empty()
        && request.context.quarantine().blocks(&request.prompt)
}

/// Returns when the newest attempt must have a response because a stream is in flight at two targets.
fn overlap_end(request: &Request, running: &[Running], has_in_flight: bool) -> Option<Instant> {
    let is_stream = matches!(request.route.kind, RouteKind::Stream { .. });
    let is_shared = running.len() + usize::from(has_in_flight) > 1;
    let newest = running.last().filter(|_| is_stream && is_shared)?;
    Some(newest.started + MAX_STREAM_OVERLAP)
}

/// Waits for the next response and removes its attempt from `running`, which must not be empty.
async fn next_response(
    running: &mut Vec<Running>,
) -> (Running, Result<TargetResponse, AttemptFailure>) {
    let (response, index, _) = select_all(running.iter_mut().map(|it| &mut it.response)).await;
    (running.remove(index), response)
}

/// Checks whether a response ends the other attempts: it can continue the stream if one has started, and is no failure if
/// another attempt is in flight.
fn check(
    response: Result<TargetResponse, AttemptFailure>,
    continues: bool,
    is_last: bool,
) -> Result<Box<TargetResponse>, AttemptFailure> {
    let mut target_response = response?;
    let status = target_response.status;
    let is_usable = if continues {
        status.is_success() && has_events(&target_response.headers)
    } else {
        is_last || !status.is_server_error()
    };
    if is_usable {
        Ok(Box::new(target_response))
    } else {
        Err(target_response.fail(AttemptFailure::InvalidResponse))
    }
}

async fn acquire_slot_at(at: Instant, request: &mut Request) -> Result<SlotGuard, Rejection> {
    sleep_until(at.into()).await;
    request.acquire_slot().await
}

fn log_failure(request: &Request, attempts: &Attempts, ended: &Running, failure: AttemptFailure) {
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), target_id = ended.target.id.as_str(),
        attempt_ms = whole_ms(ended.started.elapsed()),
        verdict = failure.verdict().as_str(), again = attempts.may_start(&request.route);
        "An attempt brought no answer: {failure}."
    );
}

fn log_rejection(request: &Request, rejection: &Rejection) {
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), service = request.service.as_str(),
        expected_wait_ms = rejection.expected_wait_ms, ahead = rejection.ahead, slots = rejection.slots,
        retry_after_ms = rejection.retry_after_ms;
        "A request found no slot in time."
    );
}
