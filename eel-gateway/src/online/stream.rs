//! Relays streams of events to callers and resumes an interrupted stream at another target if the route allows it.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use eel_events::EventScanner;
use eel_platform::parse_event_id;
use eel_table::RouteKind;
use futures_util::stream::unfold;
use http::Response;

use super::{attempts::Attempts, request::Request, run::run_attempts, serve::to_response};
use crate::{
    events,
    http::{Body, TruncatedResponse, streamed},
    target::{AttemptFailure, BodyFraming, TargetResponse},
};

/// A stream that is relayed to the caller; dropping it closes the connection, which stops the target's work.
struct Relay {
    request: Request,
    attempts: Attempts,
    target_response: Option<TargetResponse>,
    /// Bytes after the last complete event; used only if the stream is resumable.
    partial: BytesMut,
    last_event_id: Option<u64>,
    is_resumable: bool,
    /// Follows what the current target has sent.
    scanner: EventScanner,
}

/// Relays the stream whose head is `target_response`.
pub fn relay(
    request: Request,
    attempts: Attempts,
    target_response: TargetResponse,
) -> Response<Body> {
    let is_resumable = matches!(
        request.route.kind,
        RouteKind::Stream {
            resumable: true,
            ..
        }
    );
    let (status, headers) = (target_response.status, target_response.headers.clone());
    let relay = Relay {
        last_event_id: request.last_event_id,
        request,
        attempts,
        target_response: Some(target_response),
        partial: BytesMut::new(),
        is_resumable,
        scanner: EventScanner::default(),
    };
    let pieces = unfold(relay, |mut relay| async move {
        let piece = relay.next().await.transpose()?;
        Some((piece, relay))
    });
    to_response(status, &headers, streamed(pieces))
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
            let event_timeout = self.attempts.event_timeout(&self.request.route);
            let deadline = self.request.deadline;
            let until = event_timeout.map_or(deadline, |event_timeout| {
                (waiting_since + event_timeout).min(deadline)
            });
            let received = target_response.next(until).await;
            if let Ok(Some(bytes)) = &received {
                self.scanner.scan(bytes);
            } else {
                self.record_end(received.as_ref().err());
            }
            match received {
                Ok(Some(bytes)) if self.is_resumable => {
                    if let Some(events) = self.complete_events(&bytes) {
                        return Ok(Some(events));
                    }
                }
                Ok(Some(bytes)) => return Ok(Some(bytes)),
                Ok(None) if self.partial.is_empty() => {
                    self.finish();
                    return Ok(None);
                }
                Ok(None) => {
                    self.resume(AttemptFailure::InvalidResponse).await?;
                    waiting_since = Instant::now();
                }
                Err(failure) => {
                    self.resume(failure).await?;
                    waiting_since = Instant::now();
                }
            }
        }
    }

    /// Appends `bytes` to the buffer and removes the complete events from it.
    fn complete_events(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let events = events::take_complete(&mut self.partial)?;
        let last = events::each(&events).filter_map(parse_event_id).last();
        self.last_event_id = last.or(self.last_event_id);
        Some(events)
    }

    /// Counts and logs how the current target's stream ended; a failure of the connection is `failure`.
    fn record_end(&self, failure: Option<&AttemptFailure>) {
        let Some(target_response) = &self.target_response else {
            return;
        };
        let framing = target_response.framing.as_str();
        let end = match (failure, self.scanner.is_inside()) {
            (None, false) => "complete",
            (None, true) => "inside_event",
            (Some(AttemptFailure::TimedOut), _) => "timed_out",
            (Some(_), _) => "failed",
        };
        self.request.context.metrics.count_stream_end(framing, end);
        if end != "complete" || target_response.framing == BodyFraming::Connection {
            log::info!(
                target: "online", request_id = self.request.outgoing.request_id.as_str(),
                target_id = target_response.slot.target.id.as_str(), framing, end;
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
        self.partial.clear();
        self.scanner = EventScanner::default();
        self.attempts.on_failure(failure);
        let may_retry = self.is_resumable && self.attempts.may_retry(&self.request.route);
        if let Some(mut target_response) = self.target_response.take() {
            self.request.exclude(target_response.slot.key);
            target_response.fail(failure);
        }
        log::info!(
            target: "online", request_id = self.request.outgoing.request_id.as_str(),
            last_event_id = self.last_event_id.unwrap_or(0), resumes = may_retry;
            "A stream from a target was interrupted: {failure}."
        );
        if !may_retry || Instant::now() >= self.request.deadline {
            return Err(TruncatedResponse);
        }
        let target_response =
            run_attempts(&mut self.request, &mut self.attempts, self.last_event_id).await;
        let target_response = target_response.map_err(|refusal| {
            log::info!(
                target: "online", request_id = self.request.outgoing.request_id.as_str();
                "Cannot resume a stream: {refusal}."
            );
            TruncatedResponse
        })?;
        if !target_response.status.is_success() {
            return Err(TruncatedResponse);
        }
        self.target_response = Some(target_response);
        Ok(())
    }
}
