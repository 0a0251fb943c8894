//! The stream of the target that a relay reads from, and what its end means.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use eel_events::{EventBuffer, EventScanner, Repeats, each, event_id};
use eel_fleet::TargetEntry;
use eel_quarantine::MAX_FIRST_EVENTS;
use eel_table::RouteKind;
use tokio_util::sync::CancellationToken;

use super::request::Request;
use crate::{
    context::Context,
    quarantine::{on_completed, on_early_end, on_progress},
    target::{AttemptFailure, BodyFraming, Ending, OutgoingRequest, TargetResponse, has_events},
};

/// The stream of the current target.
pub struct Source {
    /// `None` once the stream has ended, so that neither its slot nor its connection is held while another target is
    /// looked for.
    pub target_response: Option<TargetResponse>,
    pub target: TargetEntry,
    pub content: Content,
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
pub enum Content {
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
    pub fn last_event_id(&self) -> Option<u64> {
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
    pub fn is_resumable(&self) -> bool {
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

impl Source {
    /// Creates the source of a response that begins a stream for the caller.
    pub fn new(request: &Request, target_response: TargetResponse) -> Self {
        let content = Content::of(request, &target_response);
        Self::with_content(request, target_response, content)
    }

    /// Creates the source of a response that continues a stream after the event `last_event_id`.
    pub fn continuing(
        request: &Request,
        target_response: TargetResponse,
        last_event_id: Option<u64>,
    ) -> Self {
        let content = Content::resumable(last_event_id);
        Self::with_content(request, target_response, content)
    }

    fn with_content(request: &Request, target_response: TargetResponse, content: Content) -> Self {
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
    pub async fn next(
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

    /// Finds out what the end of the body, without an error, means. Returns whether the response is complete; if not,
    /// [`Self::next`] returns what follows, or fails.
    pub async fn on_body_end(&mut self, deadline: Instant) -> bool {
        let ended = Instant::now();
        match self.settle(deadline).await {
            Ok(None) => {
                self.on_complete(ended);
                return true;
            }
            Ok(Some(start)) => self.start = Some(start),
            Err(failure) => {
                self.fail(failure).await;
                self.failure = Some(failure);
            }
        }
        false
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
    pub fn end(&mut self, failure: AttemptFailure) {
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
    pub fn record_end(&self, end: &'static str) {
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
