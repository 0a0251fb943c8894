//! Detects the end marker of streamed completions.

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

/// Checks whether a response ends with the end marker; only streamed completions require one.
pub(super) struct EndMarker {
    required: bool,
    tail: Vec<u8>,
}

impl EndMarker {
    pub(super) fn new(required: bool) -> Self {
        Self {
            required,
            tail: Vec::new(),
        }
    }

    pub(super) fn on_data(&mut self, data: &[u8]) {
        if !self.required {
            return;
        }
        let new_tail = &data[data.len().saturating_sub(TAIL_BYTES)..];
        self.tail.extend_from_slice(new_tail);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    pub(super) fn is_complete(&self) -> bool {
        !self.required || self.tail.trim_ascii_end().ends_with(DONE)
    }
}
