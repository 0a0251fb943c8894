//! Runs the attempts of one request until a target responds or the request is refused.
//!
//! A silent target may be sound. Its attempt therefore continues while another target is tried beside it, and ends when that
//! one has responded, or, for a stream, has had the request for a while.

use std::{
    convert::Infallible,
    future::{Pending, pending},
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use eel_fleet::{Rejection, TargetEntry, TargetKey};
use eel_quarantine::TrialEnd;
use eel_table::RouteKind;
use eel_verdict::{Reason, Refusal, Verdict};
use futures_util::future::{BoxFuture, FutureExt as _, select_all};
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::{
    attempts::Attempts,
    request::{Request, whole_ms},
};
use crate::{
    http::until_revoked,
    quarantine::{blocks, on_early_end},
    slots::SlotGuard,
    target::{AttemptFailure, TargetResponse, continues_stream, exchange},
};

/// How long a stream may be in flight at two targets. Two targets that both run it waste each other's work; none may do so
/// for 400 ms, and a node with little processor time may leave the older one late.
const MAX_STREAM_OVERLAP: Duration = Duration::from_millis(200);

/// An attempt whose response has started.
pub struct InFlight<F> {
    /// Reads what follows; fails once `left` is cancelled.
    pub read: F,
    /// Ends the attempt.
    pub left: CancellationToken,
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
    let may_take_over = in_flight.as_ref().is_none_or(|it| it.takeover_at.is_some());
    let takeover_at = in_flight.as_ref().and_then(|it| it.takeover_at);
    let mut left = in_flight.as_ref().map(|it| it.left.clone());
    let (context, tenant) = (request.context.clone(), request.tenant.clone());
    let outgoing = request.outgoing.clone();
    let mut revoked = pin!(until_revoked(
        &context,
        tenant.as_deref(),
        &outgoing.headers
    ));
    let mut race = Race {
        start_at: takeover_at.unwrap_or_else(Instant::now),
        running: Vec::new(),
        request,
        attempts,
        last_event_id,
    };
    let mut read = pin!(async {
        match in_flight {
            Some(in_flight) => in_flight.read.await,
            None => pending().await,
        }
    });
    loop {
        let is_idle = race.running.is_empty() && left.is_none();
        if race.is_revoked() {
            return Err(Refusal::not_run(Reason::Unauthorized));
        }
        let has_attempts = may_take_over && race.may_start();
        let is_blocked = has_attempts && race.is_blocked();
        let may_start = has_attempts && !is_blocked;
        if is_idle && (!may_start || Instant::now() >= race.request.deadline) {
            return Err(race.refusal(is_blocked));
        }
        let goes_on = left.as_ref().is_some_and(|left| !left.is_cancelled());
        let overlap_end = race.overlap_end(goes_on);
        let wake_at = overlap_end.unwrap_or(race.request.deadline);
        tokio::select! {
            biased;
            () = revoked.as_mut(), if !race.attempts.has_begun() => {
                return Err(Refusal::not_run(Reason::Unauthorized));
            }
            brought = read.as_mut(), if left.is_some() => match brought {
                Ok(brought) => return Ok(First::InFlight(brought)),
                Err(failure) => {
                    left = None;
                    race.on_interrupted(failure, may_take_over);
                }
            },
            (ended, response) = next_response(&mut race.running), if !race.running.is_empty() => {
                let is_last = race.running.is_empty() && left.is_none();
                match check(response, continues, is_last) {
                    Ok(target_response) => {
                        race.mark_silent_before(ended.started);
                        return Ok(First::Response(target_response));
                    }
                    Err(failure) => race.on_failure(ended, failure).await,
                }
            }
            acquired = acquire_slot_at(race.start_at, race.request, is_idle), if may_start => match acquired {
                Ok(slot) => race.start(slot),
                Err(rejection) if is_idle => {
                    log_rejection(race.request, &rejection);
                    return Err(race.attempts.reject(&rejection));
                }
                Err(rejection) => {
                    race.start_at = Instant::now() + Duration::from_millis(rejection.recheck_after_ms());
                }
            },
            () = sleep_until(wake_at.into()), if overlap_end.is_some() => match &left {
                Some(left) => left.cancel(),
                None => race.leave_oldest(),
            },
        }
    }
}

/// The attempts of a request that have no response yet.
struct Race<'a> {
    request: &'a mut Request,
    attempts: &'a mut Attempts,
    last_event_id: Option<u64>,
    /// The attempts, the oldest first.
    running: Vec<Running>,
    /// When the next attempt may start.
    start_at: Instant,
}

impl Race<'_> {
    fn may_start(&self) -> bool {
        self.attempts
            .may_start(&self.request.route, self.request.has_response)
    }

    /// Returns whether the request must not be sent to another target because it or its prompt crashes targets.
    fn is_blocked(&self) -> bool {
        let is_trial = self.request.trial.is_some() && self.attempts.is_empty();
        !is_trial && blocks(&self.request.context, &self.request.outgoing.suspects)
    }

    /// Returns whether the caller's key was revoked before the request began at a target.
    fn is_revoked(&self) -> bool {
        !self.attempts.has_begun() && self.request.is_revoked()
    }

    /// Returns the refusal to send to the caller now that no attempt is left.
    fn refusal(&self, is_blocked: bool) -> Refusal {
        if is_blocked {
            self.attempts.block()
        } else if Instant::now() >= self.request.deadline {
            self.attempts.time_out()
        } else {
            self.attempts.give_up()
        }
    }

    /// Starts an attempt, unless the request was blocked or its key was revoked while it waited for the slot.
    fn start(&mut self, slot: SlotGuard) {
        if self.is_revoked() || self.is_blocked() {
            return;
        }
        self.attempts.on_start();
        self.request.set_may_have_run(true);
        // Its caller may leave before the target crashes.
        self.request.set_trial_end(TrialEnd::Failed);
        let attempt = Running::start(self.request, slot, self.last_event_id);
        self.running.push(attempt);
        self.start_at = Instant::now() + Attempts::takeover_delay(&self.request.route);
    }

    /// Records the failure of an attempt that had no response.
    async fn on_failure(&mut self, ended: Running, failure: AttemptFailure) {
        self.attempts.on_failure(failure);
        let may_have_run = self.attempts.verdict() != Verdict::NotRun;
        self.request.set_may_have_run(may_have_run);
        if failure.verdict() == Verdict::NotRun {
            self.request.set_trial_end(TrialEnd::Inconclusive);
        }
        if failure == AttemptFailure::Full {
            // It may have room again.
            self.request.readmit(ended.key);
        }
        if self.running.is_empty() {
            self.start_at = Instant::now() + self.attempts.retry_delay();
        }
        log_failure(self.request, self.attempts, &ended, failure);
        if let Some(evidence) = failure.evidence() {
            let metrics = &self.request.context.metrics;
            metrics.count_not_run(evidence);
        }
        if failure == AttemptFailure::InvalidResponse {
            let (context, outgoing) = (&self.request.context, &self.request.outgoing);
            on_early_end(context, &ended.target, outgoing).await;
        }
    }

    /// Records the failure of the attempt whose response had started.
    fn on_interrupted(&mut self, failure: AttemptFailure, may_take_over: bool) {
        self.attempts.on_failure(failure);
        if self.running.is_empty() {
            self.start_at = Instant::now();
        }
        log::info!(
            target: "online", request_id = self.request.outgoing.request_id.as_str(),
            last_event_id = self.last_event_id.unwrap_or(0),
            resumes = may_take_over && (self.may_start() || !self.running.is_empty());
            "A stream from a target was interrupted: {failure}."
        );
    }

    /// Records as silent the targets whose attempts started before the one that has responded.
    fn mark_silent_before(&self, started: Instant) {
        let older = self.running.iter().filter(|it| it.started < started);
        older.for_each(|it| self.request.context.slots.on_silence(it.key));
    }

    /// Leaves the oldest attempt.
    fn leave_oldest(&mut self) {
        let oldest = self.running.remove(0);
        self.attempts.on_failure(AttemptFailure::TimedOut);
        self.request.context.slots.on_silence(oldest.key);
        log_failure(
            self.request,
            self.attempts,
            &oldest,
            AttemptFailure::TimedOut,
        );
    }

    /// Returns when the oldest attempt is left because a stream is in flight at two targets.
    fn overlap_end(&self, has_in_flight: bool) -> Option<Instant> {
        let is_stream = matches!(self.request.route.kind, RouteKind::Stream { .. });
        let is_shared = self.running.len() + usize::from(has_in_flight) > 1;
        let newest = self.running.last().filter(|_| is_stream && is_shared)?;
        Some(newest.started + MAX_STREAM_OVERLAP)
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
        continues_stream(status, &target_response.headers)
    } else {
        is_last || !status.is_server_error()
    };
    if is_usable {
        Ok(Box::new(target_response))
    } else {
        Err(target_response.fail(AttemptFailure::InvalidResponse))
    }
}

async fn acquire_slot_at(
    at: Instant,
    request: &mut Request,
    is_idle: bool,
) -> Result<SlotGuard, Rejection> {
    sleep_until(at.into()).await;
    let may_reuse = is_idle && request.has_response;
    request.acquire_slot(may_reuse).await
}

fn log_failure(request: &Request, attempts: &Attempts, ended: &Running, failure: AttemptFailure) {
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), target_id = ended.target.id.as_str(),
        attempt_ms = whole_ms(ended.started.elapsed()),
        verdict = failure.verdict().as_str(), evidence = failure.evidence().unwrap_or_default(), again = attempts.may_start(&request.route, request.has_response);
        "An attempt brought no answer: {failure}."
    );
}

fn log_rejection(request: &Request, rejection: &Rejection) {
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), service = request.service.as_str(),
        tenant = request.tenant_name(),
        expected_wait_ms = rejection.expected_wait_ms, ahead = rejection.ahead, slots = rejection.slots,
        limited_targets = rejection.limited_targets, version = request.version.as_deref().unwrap_or_default(),
        is_version_gone = rejection.is_version_gone,
        retry_after_ms = rejection.retry_after_ms;
        "A request found no slot in time."
    );
}
