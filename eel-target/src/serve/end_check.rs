//! Detects streams that end early.

use eel_events::EventScanner;
use http::{
    HeaderMap,
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};

/// The last event of a streamed completion.
///
/// Source: the streaming format of the `OpenAI` completions interface.
const DONE: &[u8] = b"data: [DONE]";

/// The length of the response's tail that is buffered: enough for the end marker and the line ends after it.
const TAIL_BYTES: usize = 32;

/// Returns `true` if a response with these headers is a stream of server-sent events.
pub(super) fn has_events(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| eel_events::is_event_stream(kind.as_bytes()))
}

/// Returns whether the body of a response with these headers has a length or chunks, so that it does not end with its
/// connection.
pub(super) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Checks whether a response that ended without an error is complete.
pub(super) enum EndCheck {
    /// Any end is complete.
    None,
    /// A stream of events is complete between two events.
    Events(EventScanner),
    /// A streamed completion is complete after the end marker; the tail of what was received. Some engines send no blank
    /// line after it.
    Marker(Vec<u8>),
}

impl EndCheck {
    /// Creates the check of a response; `is_stream` tells whether it is a stream of events, and `is_engine` whether its
    /// streams are completions.
    pub(super) fn new(is_stream: bool, is_engine: bool) -> Self {
        match (is_stream, is_engine) {
            (false, _) => Self::None,
            (true, false) => Self::Events(EventScanner::default()),
            (true, true) => Self::Marker(Vec::new()),
        }
    }

    pub(super) fn on_data(&mut self, data: &[u8]) {
        match self {
            Self::None => {}
            Self::Events(scanner) => {
                scanner.scan(data);
            }
            Self::Marker(tail) => {
                tail.extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
                let surplus = tail.len().saturating_sub(TAIL_BYTES);
                tail.drain(..surplus);
            }
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        match self {
            Self::None => true,
            Self::Events(scanner) => !scanner.is_inside(),
            Self::Marker(tail) => tail.trim_ascii_end().ends_with(DONE),
        }
    }
}
