//! Decides whether the end of a response's body is that of a complete response.

use eel_events::{EventScanner, is_event_stream};
use http::{HeaderMap, HeaderValue, StatusCode, header};

/// What marks the end of a response's body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// Its length is stated.
    Length,
    /// Its last chunk is empty.
    Chunks,
    /// The end of the connection, which a target that fails can cause at any byte.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of the body of a response with these `headers`.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let is_chunked = |value: &HeaderValue| {
            let codings = value.as_bytes().trim_ascii_end().to_ascii_lowercase();
            codings.ends_with(b"chunked")
        };
        if headers
            .get(header::TRANSFER_ENCODING)
            .is_some_and(is_chunked)
        {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }

    /// Returns whether a stream of events is complete where its body ended without an error.
    ///
    /// The framing proves that no byte is missing, not that the target has finished, so that no stream is complete
    /// within an event. The end of a connection proves less: such a stream needs an event, unless it `resumes` another
    /// one, which may lack nothing but its end.
    #[must_use]
    pub fn is_complete(self, events: &EventScanner, resumes: bool) -> bool {
        let proves_end = match self {
            Self::Length | Self::Chunks => true,
            Self::Connection => resumes || events.has_events(),
        };
        proves_end && !events.is_inside()
    }
}

/// Returns whether a response with these `headers` on a route of streams has events: it does unless it says otherwise.
#[must_use]
pub fn has_events(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_none_or(|kind| is_event_stream(kind.as_bytes()))
}

/// Returns whether a response may continue a stream that another target began: it is complete and says that it has events.
#[must_use]
pub fn continues_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    status == StatusCode::OK && kind.is_some_and(|kind| is_event_stream(kind.as_bytes()))
}
