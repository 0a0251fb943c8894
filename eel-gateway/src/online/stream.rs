//! Relays streams to callers and resumes an interrupted stream of events at another target if the route allows it.

use std::time::Instant;

use bytes::Bytes;
use eel_origin::Origin;
use eel_verdict::{Reason, Refusal};
use futures_util::{StreamExt as _, stream};
use http::{HeaderMap, Response, StatusCode};
use tokio::{sync::mpsc, time::timeout_at};
use tokio_util::sync::CancellationToken;

use super::{
    attempts::Attempts,
    request::Request,
    run::{First, InFlight, run_beside},
    serve::to_response,
    source::Source,
};
use crate::{
    http::{Body, TruncatedResponse, streamed},
    origins,
    target::{AttemptFailure, TargetResponse},
};

/// A stream that is relayed to the caller; dropping it closes the connection to the target, which stops its work.
pub struct Relay {
    pub request: Request,
    pub attempts: Attempts,
    /// The status and headers of the first target's response.
    pub status: StatusCode,
    headers: HeaderMap,
    /// The part of the body that was read before.
    start: Bytes,
    source: Option<Source>,
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

impl Relay {
    /// Creates the relay of the stream whose head is `target_response`; `start` is the part of its body that was read
    /// before.
    pub fn new(
        request: Request,
        attempts: Attempts,
        target_response: TargetResponse,
        start: Bytes,
    ) -> Self {
        Self {
            status: target_response.status,
            headers: target_response.headers.clone(),
            start,
            source: Some(Source::new(&request, target_response)),
            request,
            attempts,
        }
    }

    /// Waits for the first bytes of the body. From then on only targets of the version that sent them may continue a
    /// stream that can be resumed.
    ///
    /// # Errors
    ///
    /// The refusal to send to the caller if no target's stream starts.
    pub async fn read_start(&mut self) -> Result<(), Refusal> {
        if self.start.is_empty() {
            self.start = self.next().await?.unwrap_or_default();
        }
        let source = self.source.as_ref();
        if let Some(source) = source.filter(|it| it.content.is_resumable()) {
            let origin = Origin {
                service: self.request.service.clone(),
                version: source.target.version_text().into(),
            };
            self.request.version = Some(origin.version.clone());
            let attempt_id = &self.request.outgoing.request_id;
            let deadline = self.request.deadline;
            let begun = origins::begin(&self.request.context, attempt_id, origin, deadline).await;
            if let Err(error) = begun {
                log::info!(target: "online", request_id = attempt_id.as_str(); "A stream cannot begin: {error}.");
                return Err(Refusal::may_have_run(Reason::TargetFailed));
            }
        }
        Ok(())
    }

    /// Returns the response to the caller and relays the rest of its body.
    pub fn into_response(mut self) -> Response<Body> {
        self.request.has_response = true;
        let start = std::mem::take(&mut self.start);
        let start = (!start.is_empty()).then_some(Ok(start));
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(self.run(sender));
        let pieces = stream::iter(start).chain(stream::unfold(Some(receiver), receive));
        to_response(status, &headers, streamed(pieces))
    }

    /// Sends the stream to `sender` until it ends, the caller leaves or the deadline passes. The deadline holds as well
    /// while the caller does not read.
    async fn run(mut self, sender: mpsc::Sender<Piece>) {
        let deadline = self.request.deadline;
        loop {
            let piece = tokio::select! {
                piece = self.next() => piece.map_err(|_| TruncatedResponse),
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
                Err(_) => {
                    if let Some(source) = &self.source {
                        source.record_end("not_read");
                    }
                    return;
                }
            }
        }
    }

    /// Returns the next bytes for the caller; `None` at the end of the stream. An error truncates a response that has
    /// started.
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        while let Some(source) = &mut self.source {
            let route = &self.request.route;
            let delay = Attempts::event_takeover_delay(route);
            let delay = delay.filter(|_| source.content.is_resumable());
            let last_event_id = source.content.last_event_id();
            // Bytes that complete no event do not extend the wait, and the time that the caller takes to read does not
            // count.
            let left = CancellationToken::new();
            let in_flight = InFlight {
                read: source.next(self.request.deadline, left.clone()),
                left,
                takeover_at: delay.map(|delay| Instant::now() + delay),
            };
            let (request, attempts) = (&mut self.request, &mut self.attempts);
            match run_beside(request, attempts, last_event_id, Some(in_flight)).await {
                Ok(First::InFlight(Some(bytes))) => return Ok(Some(bytes)),
                Ok(First::InFlight(None)) => Box::pin(self.on_body_end()).await,
                Ok(First::Response(target_response)) => {
                    self.take_over(*target_response, last_event_id);
                }
                Err(refusal) => {
                    log::info!(
                        target: "online", request_id = self.request.outgoing.request_id.as_str();
                        "A stream cannot be finished: {refusal}."
                    );
                    return Err(refusal);
                }
            }
        }
        Ok(None)
    }

    /// Continues the stream with the response of another target, after the event `last_event_id`.
    fn take_over(&mut self, target_response: TargetResponse, last_event_id: Option<u64>) {
        if let Some(mut silent) = self.source.take() {
            let (from, to) = (&silent.target, &target_response.slot.target);
            log::info!(
                target: "online", request_id = self.request.outgoing.request_id.as_str(),
                last_event_id = last_event_id.unwrap_or(0),
                from_target = from.id.as_str(), from_version = from.version_text(),
                target_id = to.id.as_str(), version = to.version_text();
                "A stream continues at another target."
            );
            if silent.target_response.is_some() {
                self.attempts.on_failure(AttemptFailure::TimedOut);
                silent.end(AttemptFailure::TimedOut);
            }
        }
        let source = Source::continuing(&self.request, target_response, last_event_id);
        self.source = Some(source);
    }

    /// Finishes the stream, unless the end of its body turns out not to be its own.
    async fn on_body_end(&mut self) {
        let Some(source) = &mut self.source else {
            return;
        };
        if source.on_body_end(self.request.deadline).await {
            self.finish();
        }
    }

    fn finish(&mut self) {
        let target_response = self.source.take().and_then(|it| it.target_response);
        if let Some(target_response) = target_response {
            target_response.finish(&self.request.context.pool);
        }
    }
}
