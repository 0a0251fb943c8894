//! Collects the bytes of a stream until they complete an event.

use bytes::{Bytes, BytesMut};

use crate::EventScanner;

/// An event that exceeds the limit of its buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {limit_bytes} bytes")]
pub struct EventTooLong {
    /// The limit.
    pub limit_bytes: usize,
}

/// The bytes of a stream after its last complete event.
#[derive(Debug)]
pub struct EventBuffer {
    partial: BytesMut,
    scanner: EventScanner,
    limit_bytes: usize,
}

impl EventBuffer {
    /// Creates the buffer of a stream whose events are at most `limit_bytes` long.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            partial: BytesMut::new(),
            scanner: EventScanner::default(),
            limit_bytes,
        }
    }

    /// Adds `bytes`, the next part of the stream. Returns the events that they complete; `None` if they complete none.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if more bytes than the limit follow the last complete event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        let before = self.partial.len();
        let end = self.scanner.scan(bytes);
        self.partial.extend_from_slice(bytes);
        let events = end.map(|end| self.partial.split_to(before + end).freeze());
        if self.partial.len() > self.limit_bytes {
            return Err(EventTooLong {
                limit_bytes: self.limit_bytes,
            });
        }
        Ok(events)
    }

    /// Returns the state of the stream.
    #[must_use]
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }
}
