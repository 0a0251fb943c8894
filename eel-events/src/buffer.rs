//! Collects the bytes of a stream until they complete an event.

use bytes::{Bytes, BytesMut};

use crate::EventScanner;

/// An event that is longer than a stream may have one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is too long")]
pub struct EventTooLong;

/// The bytes of a stream after its last complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    scanner: EventScanner,
}

impl EventBuffer {
    /// Adds `bytes`, the next part of the stream. Returns the events that they complete; `None` if they complete none.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] as for [`EventScanner::is_too_long`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        let before = self.partial.len();
        let end = self.scanner.scan(bytes);
        if self.scanner.is_too_long() {
            return Err(EventTooLong);
        }
        self.partial.extend_from_slice(bytes);
        Ok(end.map(|end| self.partial.split_to(before + end).freeze()))
    }

    /// Returns the state of the stream.
    #[must_use]
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }
}
