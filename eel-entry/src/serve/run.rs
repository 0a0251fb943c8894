//! Sends a request to targets, with retries, and collects or streams the response.

use std::{
    future::pending,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eel_route::{
    AttemptOutcome, Attempts, FailedAttempt, RetryDecision, RetryOptions, TargetKey, TargetQuery,
};
use eel_telemetry::trace::{self, Span};
use eel_types::{Attempt as AttemptNumber, LoadReport, Name, RequestKey};
use eel_verdict::{Reason, Refusal};
use eel_wire::message::{ReplyHead, ServeRequest};
use futures_util::{FutureExt as _, StreamExt as _, future::BoxFuture, stream::FuturesUnordered};
use tokio_util::sync::CancellationToken;

use super::{request::Request, response::has_events};
use crate::{
    link::{Attempt, Reply, ReplyPart},
    node::Context,
    routing::{ChosenTarget, InFlight},
};

/// Responses up to this length are buffered, so that a truncated one can be retried.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;
/// Responses to batch items up to this length are collected; the store takes no longer ones.
const MAX_COLLECTED_RESPONSE_BYTES: usize = 1024 * 1024;
/// The time after the deadline for which the entry node waits for the target node, which enforces the deadline itself.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// The response to a request.
pub(crate) enum TargetResponse {
    /// The complete response.
    Complete {
        /// The status and headers.
        head: ReplyHead,
        /// The complete body.
        body: Bytes,
    },
    /// A response whose body is still being received.
    Stream(Box<StreamedResponse>),
}

/// A response that is passed on while it is received.
pub(crate) struct StreamedResponse {
    pub(crate) head: ReplyHead,
    /// The pieces of the body received so far.
    pub(crate) buffered: Vec<Bytes>,
    pub(crate) reply: Reply,
    pub(crate) recorder: OutcomeRecorder,
}

/// Records the outcome of an attempt in the routing state once its response has ended.
pub(crate) struct OutcomeRecorder {
    context: Arc<Context>,
    service: Name,
    pool: Name,
    prefix_hash: Option<u64>,
    target: TargetKey,
    in_flight: InFlight,
    first_byte_us: u64,
}

impl OutcomeRecorder {
    /// Records a complete response.
    pub(crate) fn record_complete(self, load: LoadReport) {
        let routing = &self.context.routing;
        self.in_flight.end(AttemptOutcome::Answered {
            first_byte_us: self.first_byte_us,
        });
        routing.report(&self.pool, self.target, load);
        routing.on_success(&self.service);
        if let Some(prefix_hash) = self.prefix_hash {
            routing.on_prefix_cached(&self.pool, prefix_hash, self.target);
        }
    }

    /// Records a response that ended with `refusal`.
    pub(crate) fn record_failure(self, refusal: &Refusal) {
        self.in_flight.end(outcome_of(refusal));
    }
}

fn outcome_of(refusal: &Refusal) -> AttemptOutcome {
    match refusal.reason {
        Reason::TargetFailed | Reason::Truncated => AttemptOutcome::Failed,
        Reason::Cancelled => AttemptOutcome::Cancelled,
        reason => AttemptOutcome::Refused(reason),
    }
}

/// Sends `request` to targets until one responds or no retry is allowed. A silent target may be sound: if the request may
/// be repeated, another target is tried beside it, and the first complete response counts.
///
/// # Errors
///
/// The final refusal, whose verdict covers all attempts.
pub(crate) async fn run(
    context: &Arc<Context>,
    request: &Request,
    span: &Span,
) -> Result<TargetResponse, Refusal> {
    let now_ms = context.clock.now_ms();
    let time_left_ms = request.deadline_ms.saturating_sub(now_ms);
    context.routing.load(&request.pool).admit(time_left_ms)?;
    let mut race = Race {
        context,
        request,
        span,
        attempts: Attempts::new(
            RetryOptions::default(),
            request.repeatable,
            request.deadline_ms,
        ),
        running: FuturesUnordered::new(),
        silent: None,
    };
    race.start()?;
    loop {
        tokio::select! {
            biased;
            Some(ended) = race.running.next() => {
                let refusal = match ended {
                    Ok(response) => return Ok(response),
                    Err(refusal) => race.on_failure(refusal),
                };
                if let Some(refusal) = refusal.filter(|_| race.running.is_empty()) {
                    return Err(refusal);
                }
            }
            () = is_silent(race.silent.as_ref()) => race.start_beside(),
        }
    }
}

/// The attempts of one request that are in flight.
struct Race<'a> {
    context: &'a Arc<Context>,
    request: &'a Request,
    span: &'a Span,
    attempts: Attempts,
    running: FuturesUnordered<BoxFuture<'a, Result<TargetResponse, Refusal>>>,
    /// Cancelled once the link of the latest attempt is silent; `None` if no other target is tried beside it.
    silent: Option<CancellationToken>,
}

impl Race<'_> {
    /// Starts an attempt at a target that was not tried.
    ///
    /// # Errors
    ///
    /// The refusal of the request, if no target is left; it is final unless other attempts are in flight.
    fn start(&mut self) -> Result<(), Refusal> {
        let (context, request) = (self.context, self.request);
        let query = TargetQuery {
            class: request.class,
            prefix_hash: request.prefix_hash,
            repeatable: request.repeatable,
            excluded: self.attempts.excluded(),
        };
        let chosen = context.routing.choose(&request.pool, &query);
        let chosen = chosen.map_err(|refusal| self.attempts.finish(refusal))?;
        let number = self.attempts.on_start(chosen.target);
        if number.0 > 1 {
            context.metrics.retries.inc();
        }
        let key = RequestKey {
            id: request.id,
            attempt: number,
        };
        let opened = Attempt::new(chosen.link.clone(), key);
        let silent = opened.as_ref().ok().map(Attempt::silent);
        self.silent = silent.filter(|_| request.repeatable);
        let attempt_span = trace::start_child_span("attempt", self.span);
        let running = async move {
            let ended = attempt(context, request, opened, key, chosen, &attempt_span, || {
                false
            });
            ended.await.inspect_err(|refusal| {
                attempt_span.set_attribute(|| ("refusal", refusal.to_string()));
            })
        };
        self.running.push(running.boxed());
        Ok(())
    }

    /// Starts an attempt beside those in flight, the latest of which is silent, if another target could run the request.
    fn start_beside(&mut self) {
        self.silent = None;
        // The load leaves out targets that are silent.
        let load = self.context.routing.load(&self.request.pool);
        let routing = &self.context.routing;
        if load.in_flight < load.slots
            && routing.may_start_beside(&self.request.service, &self.attempts)
            && let Err(refusal) = self.start()
        {
            log::debug!(target: "serve", "No other target is tried beside a silent one: {refusal}.");
        }
    }

    /// Retries after a failed attempt, or returns a refusal, which is final unless other attempts are in flight.
    fn on_failure(&mut self, refusal: Refusal) -> Option<Refusal> {
        let failed = FailedAttempt::from(refusal);
        let decision = self.context.routing.on_attempt_failed(
            &self.request.service,
            &mut self.attempts,
            failed,
        );
        match decision {
            RetryDecision::Retry => self.start().err(),
            RetryDecision::Finish(refusal) => Some(refusal),
        }
    }
}

/// Completes once the connection is silent; never if there is none.
async fn is_silent(silent: Option<&CancellationToken>) {
    match silent {
        Some(silent) => silent.cancelled().await,
        None => pending().await,
    }
}

/// Sends `request` to one target without retries, and returns the status and the complete body of its response.
///
/// # Errors
///
/// The refusal of the attempt.
pub(crate) async fn run_once(
    context: &Arc<Context>,
    request: &Request,
    number: AttemptNumber,
    span: &Span,
) -> Result<(u16, Bytes), Refusal> {
    let query = TargetQuery {
        class: request.class,
        prefix_hash: request.prefix_hash,
        repeatable: request.repeatable,
        excluded: &[],
    };
    let chosen = context.routing.choose(&request.pool, &query)?;
    let key = RequestKey {
        id: request.id,
        attempt: number,
    };
    let opened = Attempt::new(chosen.link.clone(), key);
    // The load leaves out targets that are silent.
    let ends_silent = || {
        let load = context.routing.load(&request.pool);
        request.repeatable && load.in_flight < load.slots
    };
    match attempt(context, request, opened, key, chosen, span, ends_silent).await? {
        TargetResponse::Complete { head, body } => Ok((head.status, body)),
        TargetResponse::Stream(streaming) => collect_streamed(*streaming).await,
    }
}

async fn collect_streamed(mut streaming: StreamedResponse) -> Result<(u16, Bytes), Refusal> {
    let mut parts = std::mem::take(&mut streaming.buffered);
    let mut collected_bytes: usize = parts.iter().map(Bytes::len).sum();
    loop {
        match streaming.reply.next().await {
            Ok(ReplyPart::Data(data)) => {
                collected_bytes += data.len();
                parts.push(data);
                if collected_bytes > MAX_COLLECTED_RESPONSE_BYTES {
                    let refusal = Refusal::may_have_run(Reason::TooLarge);
                    streaming.recorder.record_failure(&refusal);
                    return Err(refusal);
                }
            }
            Ok(ReplyPart::End(load)) => {
                streaming.recorder.record_complete(load);
                return Ok((streaming.head.status, join(parts)));
            }
            Err(refusal) => {
                streaming.recorder.record_failure(&refusal);
                return Err(refusal);
            }
        }
    }
}

/// Sends one attempt and reads its response. If its link goes silent, it ends if `ends_silent` holds then.
async fn attempt(
    context: &Arc<Context>,
    request: &Request,
    opened: Result<Attempt, Refusal>,
    key: RequestKey,
    chosen: ChosenTarget,
    attempt_span: &Span,
    ends_silent: impl Fn() -> bool,
) -> Result<TargetResponse, Refusal> {
    let ChosenTarget {
        target,
        link,
        in_flight,
    } = chosen;
    attempt_span.set_attribute(|| ("target", link.vm.to_string()));
    let started = Instant::now();
    let message = to_message(context, request, key, attempt_span);
    let deadline = context.clock.instant(request.deadline_ms) + DEADLINE_GRACE;
    let reply = async { opened?.send(message, ends_silent).await };
    let reply = match tokio::time::timeout_at(deadline.into(), reply).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(refusal)) => {
            in_flight.end(outcome_of(&refusal));
            return Err(refusal);
        }
        Err(_) => {
            in_flight.end(AttemptOutcome::Failed);
            return Err(Refusal::may_have_run(Reason::DeadlineExceeded));
        }
    };
    let first_byte = started.elapsed();
    context
        .metrics
        .first_byte_seconds
        .observe(first_byte.as_secs_f64());
    let recorder = OutcomeRecorder {
        context: context.clone(),
        service: request.service.clone(),
        pool: request.pool.clone(),
        prefix_hash: request.prefix_hash,
        target,
        in_flight,
        first_byte_us: u64::try_from(first_byte.as_micros()).unwrap_or(u64::MAX),
    };
    collect(reply, recorder).await
}

fn to_message(
    context: &Context,
    request: &Request,
    key: RequestKey,
    attempt_span: &Span,
) -> ServeRequest {
    let sent_ms = context.clock.now_ms();
    ServeRequest {
        key,
        caller: request.caller.clone(),
        service: request.service.clone(),
        class: request.class,
        sent_ms,
        time_left_ms: request.deadline_ms.saturating_sub(sent_ms),
        repeatable: request.repeatable,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        traceparent: trace::traceparent(attempt_span).map(Into::into),
        body: request.body.clone(),
    }
}

/// Buffers a short response until it is complete; an event stream or a long response is returned as a stream.
async fn collect(mut reply: Reply, recorder: OutcomeRecorder) -> Result<TargetResponse, Refusal> {
    let mut buffered = Vec::new();
    let mut buffered_bytes = 0;
    let is_stream = has_events(&reply.head);
    loop {
        if buffered_bytes > MAX_BUFFERED_RESPONSE_BYTES || (is_stream && buffered_bytes > 0) {
            return Ok(TargetResponse::Stream(Box::new(StreamedResponse {
                head: reply.head.clone(),
                buffered,
                reply,
                recorder,
            })));
        }
        match reply.next().await {
            Ok(ReplyPart::Data(data)) => {
                buffered_bytes += data.len();
                buffered.push(data);
            }
            Ok(ReplyPart::End(load)) => {
                recorder.record_complete(load);
                return Ok(TargetResponse::Complete {
                    head: reply.head,
                    body: join(buffered),
                });
            }
            Err(refusal) => {
                recorder.record_failure(&refusal);
                return Err(refusal);
            }
        }
    }
}

fn join(mut parts: Vec<Bytes>) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop().unwrap_or_default();
    }
    Bytes::from(parts.concat())
}
