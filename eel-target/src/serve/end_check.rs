//! Detects streams that end early.

use eel_events::EventScanner;
use http::{HeaderMap, header::CONTENT_TYPE};

/// The last event of a streamed completion.
///
/// Source: the streaming format of the `OpenAI` completions interface.
const DONE: &[u8] = b"data: [DONE]";

/// The length of the response's tail that is buffered: enough for the end marker and the line ends after it.
const TAIL_BYTES: usize = 32;

/// Returns `true` if a response with these headers is a stream of server-sent events.
pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Checks whether a response that ended without an error is complete: a stream of events ends between two of them, and
/// a streamed completion with the end marker.
pub(super) struct EndMarker {
    events: Option<EventScanner>,
    required: bool,
    tail: Vec<u8>,
}

impl EndMarker {
    /// Creates the check of a response; `is_stream` tells whether it is a stream of events, and `is_engine` whether its
    /// streams are completions.
    pub(super) fn new(is_stream: bool, is_engine: bool) -> Self {
        Self {
            events: is_stream.then(EventScanner::default),
            required: is_stream && is_engine,
            tail: Vec::new(),
        }
    }

    pub(super) fn on_data(&mut self, data: &[u8]) {
        if let Some(events) = &mut self.events {
            events.scan(data);
        }
        if !self.required {
            return;
        }
        let new_tail = &data[data.len().saturating_sub(TAIL_BYTES)..];
        self.tail.extend_from_slice(new_tail);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    pub(super) fn is_complete(&self) -> bool {
        if self.required {
            // Some engines send no blank line after the end marker.
            return self.tail.trim_ascii_end().ends_with(DONE);
        }
        !self.events.as_ref().is_some_and(EventScanner::is_inside)
    }
}
