//! Relays streams to callers and resumes an interrupted stream of events at another target if the route allows it.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use eel_events::{EventBuffer, EventScanner, Repeats, each, event_id};
use eel_fleet::TargetEntry;
use eel_origin::Origin;
use eel_quarantine::MAX_FIRST_EVENTS;
use eel_table::RouteKind;
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
};
use crate::{
    context::Context,
    http::{Body, TruncatedResponse, streamed},
    origins,
    quarantine::{on_completed, on_early_end, on_progress},
    target::{AttemptFailure, BodyFraming, Ending, OutgoingRequest, TargetResponse, has_events},
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

/// The stream of the current target.
struct Source {
    /// `None` once the stream has ended, so that neither its slot nor its connection is held while another target is
    /// looked for.
    target_response: Option<TargetResponse>,
    target: TargetEntry,
    content: Content,
    /// Bytes that were read before `content` was to follow them.
    start: Option<Bytes>,
    /// Why the response, whose body had ended, is not complete, until that is passed on.
    failure: Option<AttemptFailure>,
    /// The number of events of this target's responses before the one that `content` follows.
    earlier_events: u64,
    context: Arc<Context>,
    outgoing: Arc<OutgoingRequest>,
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
            buffer: EventBuffer::continuing(last_event_id, Repeats::Refused),
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

    /// Returns the last event that the caller has got.
    fn last_event_id(&self) -> Option<u64> {
        match self {
            Self::Resumable { last_event_id, .. } => *last_event_id,
            Self::Events { .. } | Self::Bytes => None,
        }
    }

    /// Returns whether the response has events.
    fn has_events(&self) -> bool {
        !matches!(self, Self::Bytes)
    }

    /// Returns whether another target can continue the response.
    fn is_resumable(&self) -> bool {
        matches!(self, Self::Resumable { .. })
    }

    /// Returns the number of events that this target has sent; `None` if the response has none.
    fn events(&self) -> Option<u64> {
        match self {
            Self::Resumable { buffer, .. } => Some(buffer.scanner().events()),
            Self::Events { scanner } => Some(scanner.events()),
            Self::Bytes => None,
        }
    }

    /// Returns whether only the first few events of the response have arrived.
    fn has_only_begun(&self) -> bool {
        match self {
            Self::Resumable { buffer, .. } => buffer.scanner().events() <= MAX_FIRST_EVENTS,
            Self::Events { scanner } => scanner.events() <= MAX_FIRST_EVENTS,
            Self::Bytes => false,
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
    /// Creates the relay of the stream whose head is `target_response`; `start` is the part of its body that was read
    /// before.
    pub fn new(
        request: Request,
        attempts: Attempts,
        target_response: TargetResponse,
        start: Bytes,
    ) -> Self {
        let content = Content::of(&request, &target_response);
        Self {
            status: target_response.status,
            headers: target_response.headers.clone(),
            start,
            source: Some(Source::new(&request, target_response, content)),
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
        let content = Content::resumable(last_event_id);
        self.source = Some(Source::new(&self.request, target_response, content));
    }

    /// Finishes the stream, unless the end of its body turns out not to be its own.
    async fn on_body_end(&mut self) {
        let Some(source) = &mut self.source else {
            return;
        };
        let ended = Instant::now();
        match source.settle(self.request.deadline).await {
            Ok(None) => {
                source.on_complete(ended);
                self.finish();
            }
            Ok(Some(start)) => source.start = Some(start),
            Err(failure) => {
                source.fail(failure).await;
                source.failure = Some(failure);
            }
        }
    }

    fn finish(&mut self) {
        let target_response = self.source.take().and_then(|it| it.target_response);
        if let Some(target_response) = target_response {
            target_response.finish(&self.request.context.pool);
        }
    }
}

impl Source {
    fn new(request: &Request, target_response: TargetResponse, content: Content) -> Self {
        Self {
            target: target_response.slot.target.clone(),
            target_response: Some(target_response),
            content,
            start: None,
            failure: None,
            earlier_events: 0,
            context: request.context.clone(),
            outgoing: request.outgoing.clone(),
        }
    }

    /// Returns the next bytes for the caller; `None` at the end of the body, unless it shows that the response is cut. Fails
    /// once `left` is cancelled, and if the response turned out to be cut before.
    async fn next(
        &mut self,
        deadline: Instant,
        left: CancellationToken,
    ) -> Result<Option<Bytes>, AttemptFailure> {
        if let Some(failure) = self.failure.take() {
            return Err(failure);
        }
        while let Some(target_response) = &mut self.target_response {
            let read = if let Some(start) = self.start.take() {
                Ok(Some(start))
            } else {
                tokio::select! {
                    biased;
                    read = target_response.next(deadline) => read,
                    () = left.cancelled() => Err(AttemptFailure::TimedOut),
                }
            };
            let failure = match read {
                Ok(Some(bytes)) => {
                    let had_only_begun = self.content.has_only_begun();
                    let pushed = self.content.push(bytes);
                    if had_only_begun && !self.content.has_only_begun() {
                        on_progress(&self.context, &self.outgoing.suspects);
                    }
                    if self.content.events().is_some_and(|it| it > 0) {
                        target_response.slot.on_first_event();
                    }
                    match pushed {
                        Ok(None) => continue,
                        Ok(events) => return Ok(events),
                        Err(failure) => failure,
                    }
                }
                Ok(None) if self.content.is_complete(target_response.framing) => return Ok(None),
                Ok(None) => AttemptFailure::Truncated,
                Err(failure) => failure,
            };
            self.fail(failure).await;
            return Err(failure);
        }
        Ok(None)
    }

    /// Records the failure of the target's stream, releases its slot, and finds out whether the target has crashed.
    async fn fail(&mut self, failure: AttemptFailure) {
        self.end(failure);
        let is_broken = matches!(
            failure,
            AttemptFailure::InvalidResponse | AttemptFailure::Truncated | AttemptFailure::Unsettled
        );
        if is_broken && self.content.has_only_begun() {
            on_early_end(&self.context, &self.target, &self.outgoing).await;
        }
    }

    /// Finds out whether the stream is complete, whose body has ended without an error. Returns the first bytes of what
    /// follows; `None` if nothing does.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure::Unsettled`] if the stream may be cut. A stream that no target can continue is cut only if its target has
    /// ended without having announced that it leaves.
    async fn settle(&mut self, deadline: Instant) -> Result<Option<Bytes>, AttemptFailure> {
        let Some(target_response) = &mut self.target_response else {
            return Ok(None);
        };
        if !self.content.has_events() || !target_response.needs_settling() {
            return Ok(None);
        }
        let last_event_id = self.content.last_event_id();
        let events = self.content.events().unwrap_or(0);
        // A stream that was resumed and has brought nothing was such a question already.
        let asked = last_event_id.filter(|_| events > 0);
        let settling = target_response.settle(&self.context, &self.outgoing, asked, deadline);
        let is_cut = match settling.await {
            Ending::Complete => false,
            Ending::Continued(start) => {
                self.earlier_events += events;
                self.content = Content::resumable(last_event_id);
                return Ok(Some(start));
            }
            Ending::Broken if self.content.is_resumable() => last_event_id.is_some(),
            Ending::Broken => target_response.slot.target_stays(),
            Ending::Unsaid | Ending::Unknown => last_event_id.is_some(),
        };
        if is_cut {
            Err(AttemptFailure::Unsettled)
        } else {
            Ok(None)
        }
    }

    /// Records the end of a complete response, whose body had ended at `ended`.
    fn on_complete(&self, ended: Instant) {
        let Some(target_response) = &self.target_response else {
            return;
        };
        if let Some(events) = self.content.events() {
            let events = self.earlier_events + events;
            target_response.slot.on_last_event(ended, events);
        }
        self.record_end("complete");
        if target_response.status.is_success() {
            on_completed(&self.context, &self.outgoing.suspects);
        }
    }

    /// Records the failure of the target's stream and releases its slot.
    fn end(&mut self, failure: AttemptFailure) {
        self.record_end(match failure {
            AttemptFailure::Truncated => "inside_event",
            AttemptFailure::Unsettled => "unsettled",
            AttemptFailure::TimedOut => "timed_out",
            _ => "failed",
        });
        if let Some(mut target_response) = self.target_response.take() {
            target_response.fail(failure);
        }
    }

    /// Counts and logs how the target's stream ended.
    fn record_end(&self, end: &'static str) {
        let Some(target_response) = &self.target_response else {
            return;
        };
        let framing = target_response.framing;
        self.context.metrics.count_stream_end(framing.as_str(), end);
        if end != "complete" || framing == BodyFraming::Connection {
            log::info!(
                target: "online", request_id = self.outgoing.request_id.as_str(),
                target_id = self.target.id.as_str(), version = self.target.version_text(), framing = framing.as_str(), end;
                "A stream from a target ended."
            );
        }
    }
}
