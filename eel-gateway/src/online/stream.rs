//! Relays streams of events to callers and resumes an interrupted stream at another target if the route allows it.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use eel_platform::parse_event_id;
use eel_table::RouteKind;
use futures_util::stream::unfold;
use http::Response;

use super::{plan::Attempts, request::Request, run::ask, serve::to_response};
use crate::{
    events,
    http::{Body, BrokenAnswer, streamed},
    target::{Answer, Failure},
};

/// A stream that is relayed to the caller; dropping it closes the connection, which stops the target's work.
struct Relay {
    request: Request,
    attempts: Attempts,
    answer: Option<Answer>,
    /// Bytes after the last complete event; used only if the stream is resumable.
    partial: BytesMut,
    last_event_id: Option<u64>,
    is_resumable: bool,
}

/// Relays the stream whose head is `answer`.
pub fn relay(request: Request, attempts: Attempts, answer: Answer) -> Response<Body> {
    let is_resumable = matches!(
        request.route.kind,
        RouteKind::Stream {
            resumable: true,
            ..
        }
    );
    let (status, headers) = (answer.status, answer.headers.clone());
    let relay = Relay {
        last_event_id: request.last_event_id,
        request,
        attempts,
        answer: Some(answer),
        partial: BytesMut::new(),
        is_resumable,
    };
    let pieces = unfold(relay, |mut relay| async move {
        let piece = relay.next().await.transpose()?;
        Some((piece, relay))
    });
    to_response(status, &headers, streamed(pieces))
}

impl Relay {
    /// Returns the next bytes for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        loop {
            let Some(answer) = &mut self.answer else {
                return Ok(None);
            };
            let pause = self.attempts.pause(&self.request.route);
            let deadline = self.request.deadline;
            let until = pause.map_or(deadline, |pause| (Instant::now() + pause).min(deadline));
            match answer.next(until).await {
                Ok(Some(bytes)) if self.is_resumable => {
                    if let Some(events) = self.whole_events(&bytes) {
                        return Ok(Some(events));
                    }
                }
                Ok(Some(bytes)) => return Ok(Some(bytes)),
                Ok(None) if self.partial.is_empty() => {
                    self.finish();
                    return Ok(None);
                }
                Ok(None) => self.resume(Failure::Broken).await?,
                Err(failure) => self.resume(failure).await?,
            }
        }
    }

    /// Appends `bytes` to the buffer and removes the complete events from it.
    fn whole_events(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let events = events::take_whole(&mut self.partial)?;
        let last = events::each(&events).filter_map(parse_event_id).last();
        self.last_event_id = last.or(self.last_event_id);
        Some(events)
    }

    fn finish(&mut self) {
        if let Some(answer) = self.answer.take() {
            answer.finish(&self.request.context.pool);
        }
    }

    /// Resumes the stream at another target after the last complete event, or fails to truncate the caller's response.
    async fn resume(&mut self, failure: Failure) -> Result<(), BrokenAnswer> {
        self.partial.clear();
        self.attempts.on_failure(failure);
        let may_go_on = self.is_resumable && self.attempts.may_go_on(&self.request.route);
        if let Some(mut answer) = self.answer.take() {
            self.request.exclude(answer.held.key);
            answer.fail(failure);
        }
        log::info!(
            target: "online", request_id = self.request.outgoing.request_id.as_str(),
            last_event_id = self.last_event_id.unwrap_or(0), resumes = may_go_on;
            "A stream from a target was interrupted: {failure}."
        );
        if !may_go_on || Instant::now() >= self.request.deadline {
            return Err(BrokenAnswer);
        }
        let answer = ask(&mut self.request, &mut self.attempts, self.last_event_id).await;
        let answer = answer.map_err(|refusal| {
            log::info!(
                target: "online", request_id = self.request.outgoing.request_id.as_str();
                "Resuming a stream failed: {refusal}."
            );
            BrokenAnswer
        })?;
        if !answer.status.is_success() {
            return Err(BrokenAnswer);
        }
        self.answer = Some(answer);
        Ok(())
    }
}
