//! Serves a request: waits for admission, sends it to the target and forwards the response to the entry node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use eel_admit::{Arrival, Finish};
use eel_telemetry::trace::{self, Span};
use eel_types::RequestKey;
use eel_verdict::{Reason, Refusal};
use eel_wire::{
    codec,
    message::{ReplyEnd, ReplyHead, ReplyRefused, ServeReply, ServeRequest},
};
use error_stack::{Report, ResultExt as _};

use futures_util::FutureExt as _;
use quinn::SendStream;
use reqwest::Response;
use tokio::time::Instant;

use crate::{
    admission::{Decision, SharedAdmission, Ticket},
    engine::response_headers,
    link::{Link, UnreceivedReply},
    metrics::{AttemptLabels, ClassLabel, Outcome},
    survival::refuses_connections,
};

mod end_check;
mod timing;

use end_check::{EndCheck, has_events, is_framed};
use timing::Timing;

/// The size of the reply buffer at which it is written to the stream.
const FLUSH_BYTES: usize = 64 * 1024;
/// The initial capacity of the reply buffer, enough for the frames of a short response.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// The maximum time between two parts of a response body, after which its connection counts as silent.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The code with which a stream is reset whose reply cannot be written in time.
const BLOCKED_CODE: u32 = 1;

type WireResult<T> = Result<T, Report<eel_wire::Error>>;

/// Serves `request`, writes the reply or refusal to `send` and waits until the entry node has received it, so that a
/// shutdown cannot truncate it.
///
/// # Errors
///
/// [`eel_wire::Error`] if the stream fails; failures of the target are sent as refusals.
pub(crate) async fn serve(
    link: &Arc<Link>,
    request: ServeRequest,
    send: &mut SendStream,
) -> WireResult<()> {
    let mut unreceived = UnreceivedReply::new(link);
    let replied = try_serve(link, request, send, &mut unreceived).await;
    let _ = send.finish();
    let is_received = match &replied {
        Ok(Replied::InWhole) => send.stopped().await.is_ok(),
        // The transport reports no acknowledgement of a reset.
        Ok(Replied::Reset) => false,
        Err(_) => matches!(send.stopped().now_or_never(), Some(Ok(Some(_)))),
    };
    if is_received {
        unreceived.end();
    }
    replied.map(drop)
}

/// How the stream of a request ends.
enum Replied {
    /// With a complete reply or a refusal.
    InWhole,
    /// With a reset, since the entry node did not read.
    Reset,
}

async fn try_serve(
    link: &Arc<Link>,
    request: ServeRequest,
    send: &mut SendStream,
    unreceived: &mut UnreceivedReply<'_>,
) -> WireResult<Replied> {
    let parent = trace::parent_context(request.traceparent.as_deref(), false);
    let span = trace::start_span("target", parent);
    let arrived = Instant::now();
    let deadline_ms = link.deadline_ms(request.sent_ms, request.time_left_ms);
    let mut ticket = link.context.admission.arrive(Arrival {
        key: request.key,
        link: link.key,
        caller: request.caller.clone(),
        class: request.class,
        deadline_ms,
        repeatable: request.repeatable,
    });
    let decision = tokio::select! {
        decision = ticket.decided() => decision,
        _ = send.stopped() => {
            link.context.admission.cancel(request.key);
            ticket.decided().await
        }
    };
    span.set_attribute(|| ("wait_us", arrived.elapsed().as_micros().to_string()));
    let result = match decision {
        Decision::Refuse(refusal) => AttemptResult::Refused(refusal),
        Decision::Start => {
            unreceived.start();
            let waited = arrived.elapsed().as_secs_f64();
            link.context.metrics.wait_seconds.observe(waited);
            Attempt::new(link, &request, &ticket, deadline_ms)
                .run(send, &span)
                .await?
        }
    };
    record_outcome(link, &request, &result);
    match result {
        AttemptResult::Answered => Ok(Replied::InWhole),
        AttemptResult::Blocked(refusal) => {
            span.set_attribute(|| ("refusal", refusal.to_string()));
            // The stream may be closed already.
            let _ = send.reset(BLOCKED_CODE.into());
            Ok(Replied::Reset)
        }
        AttemptResult::Refused(refusal) | AttemptResult::Failed(refusal) => {
            span.set_attribute(|| ("refusal", refusal.to_string()));
            refuse(link, send, request.key, refusal).await?;
            Ok(Replied::InWhole)
        }
    }
}

/// The result of an attempt.
enum AttemptResult {
    Answered,
    Refused(Refusal),
    Failed(Refusal),
    /// The attempt was interrupted while the entry node did not read, so that no refusal can follow what was written.
    Blocked(Refusal),
}

fn record_outcome(link: &Link, request: &ServeRequest, result: &AttemptResult) {
    let outcome = match result {
        AttemptResult::Answered => Outcome::Answered,
        AttemptResult::Refused(_) => Outcome::Refused,
        AttemptResult::Failed(_) | AttemptResult::Blocked(_) => Outcome::Failed,
    };
    let labels = AttemptLabels {
        class: ClassLabel::from(request.class),
        outcome,
    };
    link.context.metrics.attempts.get_or_create(&labels).inc();
}

async fn refuse(
    link: &Link,
    send: &mut SendStream,
    key: RequestKey,
    refusal: Refusal,
) -> WireResult<()> {
    let reply = ServeReply::Refused(ReplyRefused {
        key,
        refusal,
        load: link.context.admission.report(link.key),
    });
    codec::write(send, &reply).await
}

/// Releases the slot of a started request when it is dropped, so also if its task is aborted.
struct SlotGuard<'a> {
    admission: &'a SharedAdmission,
    finish: Option<Finish>,
}

impl<'a> SlotGuard<'a> {
    fn new(admission: &'a SharedAdmission, key: RequestKey) -> Self {
        let finish = Finish {
            key,
            first_byte_ms: None,
            between_tokens_ms: None,
        };
        Self {
            admission,
            finish: Some(finish),
        }
    }

    /// Releases the slot and reports the measured latencies.
    fn release(mut self, timing: &Timing) {
        if let Some(mut finish) = self.finish.take() {
            finish.first_byte_ms = timing.first_byte_ms();
            finish.between_tokens_ms = timing.between_tokens_ms();
            self.admission.finish(finish);
        }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        if let Some(finish) = self.finish.take() {
            self.admission.finish(finish);
        }
    }
}

/// A request that holds a slot.
struct Attempt<'a> {
    link: &'a Link,
    request: &'a ServeRequest,
    ticket: &'a Ticket,
    deadline: Instant,
}

impl<'a> Attempt<'a> {
    fn new(
        link: &'a Link,
        request: &'a ServeRequest,
        ticket: &'a Ticket,
        deadline_ms: u64,
    ) -> Self {
        let deadline = link.context.clock.instant(deadline_ms).into();
        Self {
            link,
            request,
            ticket,
            deadline,
        }
    }

    async fn run(&self, send: &mut SendStream, span: &Span) -> WireResult<AttemptResult> {
        let slot = SlotGuard::new(&self.link.context.admission, self.request.key);
        let mut timing = Timing::start();
        let traceparent = trace::traceparent(span).or_else(|| self.traceparent());
        let response = self.link.context.engine.send(self.request, traceparent);
        let response = tokio::select! {
            response = response => response,
            refusal = self.wait_for_interrupt(send) => Err(refusal),
        };
        let mut buffer = Vec::with_capacity(INITIAL_BUFFER_BYTES);
        let result = match response {
            Ok(response) => self.forward(response, send, &mut timing, &mut buffer).await,
            Err(refusal) => Ok(AttemptResult::Failed(refusal)),
        };
        if let Some(first_byte) = timing.first_byte() {
            let first_byte_seconds = &self.link.context.metrics.first_byte_seconds;
            first_byte_seconds.observe(first_byte.as_secs_f64());
        }
        slot.release(&timing);
        let result = result?;
        if matches!(result, AttemptResult::Answered) {
            codec::append(&mut buffer, &self.end(timing.body_bytes()))?;
            flush(send, &mut buffer).await?;
            // Finishes the stream here, not where the request stream was accepted, so that its FIN is sent in the same
            // packet as the end message.
            let _ = send.finish();
        }
        Ok(result)
    }

    fn traceparent(&self) -> Option<String> {
        self.request.traceparent.as_deref().map(str::to_owned)
    }

    /// Waits for an event that ends a started request before its response is complete: a cancellation, the deadline,
    /// or, for a repeatable request, the end of the stream.
    ///
    /// A non-repeatable request runs to its end even if its entry node is gone or has stopped the stream: stopping it
    /// midway would leave its effect unknown and gain nothing.
    async fn wait_for_interrupt(&self, send: &SendStream) -> Refusal {
        tokio::select! {
            refusal = self.wait_for_end() => refusal,
            _ = send.stopped(), if self.request.repeatable => {
                Refusal::may_have_run(Reason::Cancelled)
            }
        }
    }

    /// Waits for a cancellation or the deadline.
    async fn wait_for_end(&self) -> Refusal {
        tokio::select! {
            () = self.ticket.cancelled() => Refusal::may_have_run(Reason::Cancelled),
            () = tokio::time::sleep_until(self.deadline) => {
                Refusal::may_have_run(Reason::DeadlineExceeded)
            }
        }
    }

    /// Forwards the response. [`Attempt::run`] writes what remains in `buffer` together with the end message.
    ///
    /// An event stream is written as it is received. The entry node buffers other responses of up to [`FLUSH_BYTES`]
    /// anyway, so writing their parts one by one would only cost packets.
    async fn forward(
        &self,
        mut response: Response,
        send: &mut SendStream,
        timing: &mut Timing,
        buffer: &mut Vec<u8>,
    ) -> WireResult<AttemptResult> {
        let is_engine = self.link.context.config.is_engine(&self.request.service);
        let is_stream = has_events(response.headers());
        let mut end_check = EndCheck::new(is_stream, is_engine);
        let (is_framed, address) = (is_framed(response.headers()), response.remote_addr());
        codec::append(buffer, &self.head(&response))?;
        loop {
            let ready = response.chunk().now_or_never();
            let part = if let Some(part) = ready {
                part
            } else {
                if is_stream && let Err(refusal) = self.flush(send, buffer).await? {
                    return Ok(AttemptResult::Blocked(refusal));
                }
                match self.next_part(&mut response, send).await {
                    Ok(part) => part,
                    Err(refusal) => return Ok(AttemptResult::Failed(refusal)),
                }
            };
            match part {
                Ok(Some(data)) => {
                    timing.on_part(data.len());
                    end_check.on_data(&data);
                    append_data(buffer, data)?;
                    if buffer.len() >= FLUSH_BYTES
                        && let Err(refusal) = self.flush(send, buffer).await?
                    {
                        return Ok(AttemptResult::Blocked(refusal));
                    }
                }
                Ok(None)
                    if end_check.is_complete()
                        && !self.may_be_cut(&end_check, is_framed, address).await =>
                {
                    return Ok(AttemptResult::Answered);
                }
                Ok(None) | Err(_) => {
                    if let Err(refusal) = self.flush(send, buffer).await? {
                        return Ok(AttemptResult::Blocked(refusal));
                    }
                    return Ok(AttemptResult::Failed(Refusal::may_have_run(
                        Reason::Truncated,
                    )));
                }
            }
        }
    }

    /// Returns whether a stream that ended between two events ended with the target's process: a body without a length ends
    /// with its connection, which a crash closes as well. While the node drains, its target may leave after a whole response.
    async fn may_be_cut(
        &self,
        end_check: &EndCheck,
        is_framed: bool,
        address: Option<SocketAddr>,
    ) -> bool {
        let (EndCheck::Events(_), false, Some(address)) = (end_check, is_framed, address) else {
            return false;
        };
        if self.link.context.draining.is_cancelled() || !refuses_connections(address).await {
            return false;
        }
        log::info!(target: "target", address:%; "A stream ended with its connection, and its target has ended.");
        true
    }

    /// Writes `buffer` to the stream. An entry node that does not read holds neither the slot nor the connection to the
    /// target past a cancellation or the deadline.
    async fn flush(
        &self,
        send: &mut SendStream,
        buffer: &mut Vec<u8>,
    ) -> WireResult<Result<(), Refusal>> {
        tokio::select! {
            flushed = flush(send, buffer) => flushed.map(Ok),
            refusal = self.wait_for_end() => Ok(Err(refusal)),
        }
    }

    async fn next_part(
        &self,
        response: &mut Response,
        send: &SendStream,
    ) -> Result<reqwest::Result<Option<Bytes>>, Refusal> {
        tokio::select! {
            part = response.chunk() => Ok(part),
            refusal = self.wait_for_interrupt(send) => Err(refusal),
            () = tokio::time::sleep(STALL_TIMEOUT) => {
                Err(Refusal::may_have_run(Reason::Truncated))
            }
        }
    }

    fn head(&self, response: &Response) -> ServeReply {
        ServeReply::Head(ReplyHead {
            key: self.request.key,
            status: response.status().as_u16(),
            headers: response_headers(response.headers()),
        })
    }

    fn end(&self, body_bytes: u64) -> ServeReply {
        ServeReply::End(ReplyEnd {
            key: self.request.key,
            body_bytes,
            load: self.link.context.admission.report(self.link.key),
        })
    }
}

fn append_data(buffer: &mut Vec<u8>, data: Bytes) -> WireResult<()> {
    codec::append(buffer, &ServeReply::Data(data))
}

async fn flush(send: &mut SendStream, buffer: &mut Vec<u8>) -> WireResult<()> {
    if buffer.is_empty() {
        return Ok(());
    }
    send.write_all(buffer)
        .await
        .change_context(eel_wire::Error::Closed)?;
    buffer.clear();
    Ok(())
}
