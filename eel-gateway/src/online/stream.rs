//! Relays streams to callers and resumes an interrupted stream of events at another target if the route allows it.

use std::time::Instant;

use bytes::Bytes;
use eel_events::{EventBuffer, EventScanner, each, event_id};
use eel_table::RouteKind;
use futures_util::{StreamExt as _, stream};
use http::Response;
use tokio::{sync::mpsc, time::timeout_at};

use super::{attempts::Attempts, request::Request, run::run_attempts, serve::to_response};
use crate::{
    http::{Body, TruncatedResponse, streamed},
    target::{AttemptFailure, BodyFraming, TargetResponse, has_events},
};

/// A stream that is relayed to the caller; dropping it closes the connection to the target, which stops its work.
struct Relay {
    request: Request,
    attempts: Attempts,
    target_response: Option<TargetResponse>,
    content: Content,
}

/// What the current target sends.
enum Content {
    /// Events that another target can continue; the caller gets complete ones only.
    Resumable {
        buffer: EventBuffer,
        last_event_id: Option<u64>,
    },
    /// Events that no other target can continue; the caller gets the bytes as they arrive.
    Events { scanner: EventScanner },
    /// Bytes of any other kind.
    Bytes,
}

/// Relays the stream whose head is `target_response`, after `start`, the part of its body that was read before.
pub fn relay(
    request: Request,
    attempts: Attempts,
    target_response: TargetResponse,
    start: Bytes,
) -> Response<Body> {
    let (status, headers) = (target_response.status, target_response.headers.clone());
    let relay = Relay {
        content: Content::of(&request, &target_response),
        request,
        attempts,
        target_response: Some(target_response),
    };
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(relay.run(sender));
    let start = (!start.is_empty()).then_some(Ok(start));
    let pieces = stream::iter(start).chain(stream::unfold(Some(receiver), receive));
    to_response(status, &headers, streamed(pieces))
}

type Piece = Result<Option<Bytes>, TruncatedResponse>;

/// Receives the next piece. A relay that ends without having sent the end of the stream truncates the response.
async fn receive(
    receiver: Option<mpsc::Receiver<Piece>>,
) -> Option<(
    Result<Bytes, TruncatedResponse>,
    Option<mpsc::Receiver<Piece>>,
)> {
    let mut receiver = receiver?;
    match receiver.recv().await {
        Some(Ok(Some(bytes))) => Some((Ok(bytes), Some(receiver))),
        Some(Ok(None)) => None,
        Some(Err(TruncatedResponse)) | None => Some((Err(TruncatedResponse), None)),
    }
}

impl Content {
    fn of(request: &Request, target_response: &TargetResponse) -> Self {
        let has_events =
            target_response.status.is_success() && has_events(&target_response.headers);
        match request.route.kind {
            RouteKind::Stream {
                resumable: true, ..
            } if has_events => Self::resumable(request.last_event_id),
            RouteKind::Stream { .. } if has_events => Self::Events {
                scanner: EventScanner::default(),
            },
            _ => Self::Bytes,
        }
    }

    fn resumable(last_event_id: Option<u64>) -> Self {
        Self::Resumable {
            buffer: EventBuffer::default(),
            last_event_id,
        }
    }

    /// Adds `bytes`, the next ones from the target. Returns those that the caller gets now.
    fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, AttemptFailure> {
        match self {
            Self::Resumable {
                buffer,
                last_event_id,
            } => {
                let pushed = buffer.push(&bytes);
                let events = pushed.map_err(|_| AttemptFailure::InvalidResponse)?;
                let last = events
                    .as_deref()
                    .and_then(|it| each(it).filter_map(event_id).last());
                *last_event_id = last.or(*last_event_id);
                Ok(events)
            }
            Self::Events { scanner } => {
                scanner.scan(&bytes);
                if scanner.is_too_long() {
                    return Err(AttemptFailure::InvalidResponse);
                }
                Ok(Some(bytes))
            }
            Self::Bytes => Ok(Some(bytes)),
        }
    }

    /// Returns whether the response is complete if its body ends here, without an error.
    fn is_complete(&self, framing: BodyFraming) -> bool {
        match self {
            Self::Resumable {
                buffer,
                last_event_id,
            } => framing.is_complete(buffer.scanner(), last_event_id.is_some()),
            Self::Events { scanner } => framing.is_complete(scanner, false),
            Self::Bytes => true,
        }
    }
}

impl Relay {
    /// Sends the stream to `sender` until it ends, the caller leaves or the deadline passes. The deadline holds as well
    /// while the caller does not read.
    async fn run(mut self, sender: mpsc::Sender<Piece>) {
        let deadline = self.request.deadline;
        loop {
            let piece = tokio::select! {
                piece = self.next() => piece,
                () = sender.closed() => return,
            };
            if !matches!(piece, Ok(Some(_))) {
                // The connection to the target is not in use any more; an error means that the caller has left.
                let _ = sender.send(piece).await;
                return;
            }
            let sent = timeout_at(deadline.into(), sender.send(piece)).await;
            match sent {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => return self.record_end("not_read"),
            }
        }
    }

    /// Returns the next bytes for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, TruncatedResponse> {
        // Bytes that complete no event do not extend the wait, and the time that the caller takes to read does not count.
        let mut waiting_since = Instant::now();
        loop {
            let Some(target_response) = &mut self.target_response else {
                return Ok(None);
            };
            let event_timeout = match self.content {
                Content::Resumable { .. } => self.attempts.event_timeout(&self.request.route),
                Content::Events { .. } | Content::Bytes => None,
            };
            let deadline = self.request.deadline;
            let until = event_timeout.map_or(deadline, |event_timeout| {
                (waiting_since + event_timeout).min(deadline)
            });
            let failure = match target_response.next(until).await {
                Ok(Some(bytes)) => match self.content.push(bytes) {
                    Ok(None) => continue,
                    Ok(events) => return Ok(events),
                    Err(failure) => failure,
                },
                Ok(None) if self.content.is_complete(target_response.framing) => {
                    self.record_end("complete");
                    self.finish();
                    return Ok(None);
                }
                Ok(None) => AttemptFailure::Truncated,
                Err(failure) => failure,
            };
            self.record_end(match failure {
                AttemptFailure::Truncated => "inside_event",
                AttemptFailure::TimedOut => "timed_out",
                _ => "failed",
            });
            self.resume(failure).await?;
            waiting_since = Instant::now();
        }
    }

    /// Counts and logs how the current target's stream ended.
    fn record_end(&self, end: &'static str) {
        let Some(target_response) = &self.target_response else {
            return;
        };
        let framing = target_response.framing;
        let metrics = &self.request.context.metrics;
        metrics.count_stream_end(framing.as_str(), end);
        if end != "complete" || framing == BodyFraming::Connection {
            log::info!(
                target: "online", request_id = self.request.outgoing.request_id.as_str(),
                target_id = target_response.slot.target.id.as_str(), framing = framing.as_str(), end;
                "A stream from a target ended."
            );
        }
    }

    fn finish(&mut self) {
        if let Some(target_response) = self.target_response.take() {
            target_response.finish(&self.request.context.pool);
        }
    }

    /// Resumes the stream at another target after the last complete event. An error truncates the caller's response.
    async fn resume(&mut self, failure: AttemptFailure) -> Result<(), TruncatedResponse> {
        self.attempts.on_failure(failure);
        if let Some(mut target_response) = self.target_response.take() {
            self.request.exclude(target_response.slot.key);
            target_response.fail(failure);
        }
        let (is_resumable, last_event_id) = match self.content {
            Content::Resumable { last_event_id, .. } => (true, last_event_id),
            Content::Events { .. } | Content::Bytes => (false, None),
        };
        let may_retry = is_resumable && self.attempts.may_retry(&self.request.route);
        log::info!(
            target: "online", request_id = self.request.outgoing.request_id.as_str(),
            last_event_id = last_event_id.unwrap_or(0), resumes = may_retry;
            "A stream from a target was interrupted: {failure}."
        );
        if !may_retry || Instant::now() >= self.request.deadline {
            return Err(TruncatedResponse);
        }
        let target_response =
            run_attempts(&mut self.request, &mut self.attempts, last_event_id).await;
        let target_response = target_response.map_err(|refusal| {
            log::info!(
                target: "online", request_id = self.request.outgoing.request_id.as_str();
                "Cannot resume a stream: {refusal}."
            );
            TruncatedResponse
        })?;
        if !target_response.status.is_success() || !has_events(&target_response.headers) {
            return Err(TruncatedResponse);
        }
        self.content = Content::resumable(last_event_id);
        self.target_response = Some(target_response);
        Ok(())
    }
}
