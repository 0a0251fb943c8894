//! Collects the bytes of a stream until they complete an event.

use bytes::{Bytes, BytesMut};

use crate::{EventScanner, Repeats, continuation::Continuation};

/// Why the bytes of a stream cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidEvents {
    /// An event is longer than a stream may have one.
    #[error("an event is too long")]
    TooLong,
    /// The first event is not the next one of the stream that the response should continue.
    #[error("the response does not continue the stream")]
    NotContinued,
}

/// The bytes of a stream after its last complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    scanner: EventScanner,
    continuation: Continuation,
}

impl EventBuffer {
    /// Creates the buffer of a response that continues a stream after the event `last_event_id`; `None` if it begins one.
    #[must_use]
    pub fn continuing(last_event_id: Option<u64>, repeats: Repeats) -> Self {
        Self {
            continuation: Continuation::new(last_event_id, repeats),
            ..Self::default()
        }
    }

    /// Adds `bytes`, the next part of the stream. Returns the events that they complete; `None` if they complete none.
    ///
    /// # Errors
    ///
    /// [`InvalidEvents::TooLong`] as for [`EventScanner::is_too_long`], [`InvalidEvents::NotContinued`] if the first event has
    /// another id than the next one, or none.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, InvalidEvents> {
        let before = self.partial.len();
        let end = self.scanner.scan(bytes);
        if self.scanner.is_too_long() {
            return Err(InvalidEvents::TooLong);
        }
        self.partial.extend_from_slice(bytes);
        let events = end.map(|end| self.partial.split_to(before + end).freeze());
        if events
            .as_deref()
            .is_some_and(|it| !self.continuation.admits(it))
        {
            return Err(InvalidEvents::NotContinued);
        }
        Ok(events)
    }

    /// Returns the state of the stream.
    #[must_use]
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }
}
