//! Relays streams to callers and resumes an interrupted stream of events at another target if the route allows it.

use std::time::Instant;

use bytes::Bytes;
use eel_events::{EventBuffer, EventScanner, each};
use eel_platform::parse_event_id;
use eel_table::RouteKind;
use futures_util::stream::unfold;
use http::Response;

use super::{attempts::Attempts, request::Request, run::run_attempts, serve::to_response};
use crate::{
    http::{Body, TruncatedResponse, streamed},
    target::{AttemptFailure, BodyFraming, MAX_EVENT_BYTES, TargetResponse, is_event_stream},
};

/// A stream that is relayed to the caller; dropping it closes the connection, which stops the target's work.
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

/// Relays the stream whose head is `target_response`.
pub fn relay(
    request: Request,
    attempts: Attempts,
    target_response: TargetResponse,
) -> Response<Body> {
    let (status, headers) = (target_response.status, target_response.headers.clone());
    let relay = Relay {
        content: Content::of(&request, &target_response),
        request,
        attempts,
        target_response: Some(target_response),
    };
    let pieces = unfold(relay, |mut relay| async move {
        let piece = relay.next().await.transpose()?;
        Some((piece, relay))
    });
    to_response(status, &headers, streamed(pieces))
}

impl Content {
    fn of(request: &Request, target_response: &TargetResponse) -> Self {
        match request.route.kind {
            RouteKind::Stream { resumable, .. } if is_event_stream(&target_response.headers) => {
                if resumable {
                    Self::resumable(request.last_event_id)
                } else {
                    let scanner = EventScanner::default();
                    Self::Events { scanner }
                }
            }
            _ => Self::Bytes,
        }
    }

    fn resumable(last_event_id: Option<u64>) -> Self {
        Self::Resumable {
            buffer: EventBuffer::new(MAX_EVENT_BYTES),
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
                    .and_then(|it| each(it).filter_map(parse_event_id).last());
                *last_event_id = last.or(*last_event_id);
                Ok(events)
            }
            Self::Events { scanner } => {
                scanner.scan(&bytes);
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
        if !target_response.status.is_success() || !is_event_stream(&target_response.headers) {
            return Err(TruncatedResponse);
        }
        self.content = Content::resumable(last_event_id);
        self.target_response = Some(target_response);
        Ok(())
    }
}
