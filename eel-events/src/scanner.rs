//! Follows a stream of events and finds where each of them ends.

/// The length of an event, and of bytes that complete none, from which a stream counts as broken.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Follows a stream of events, byte by byte, without storing it.
///
/// An event ends with a blank line; a line ends with LF, CR or CRLF. Comments and blank lines between events belong to
/// none.
#[derive(Debug, Default)]
pub struct EventScanner {
    line: Line,
    is_after_cr: bool,
    has_fields: bool,
    events: u64,
    /// How many bytes follow the last complete event.
    open_bytes: usize,
}

/// The part of the current line that was received so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Start,
    Comment,
    Field,
}

impl EventScanner {
    /// Follows `bytes`, the next part of the stream. Returns how many of them belong to events that are complete; `None`
    /// if they complete none.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, &byte) in bytes.iter().enumerate() {
            let ends_crlf = byte == b'\n' && self.is_after_cr;
            if self.push(byte) || (ends_crlf && end == Some(index)) {
                end = Some(index + 1);
            }
        }
        let complete = end.unwrap_or(0);
        let before = if end.is_none() { self.open_bytes } else { 0 };
        self.open_bytes = before + bytes.len() - complete;
        end
    }

    /// Returns whether the stream would be truncated if it ended here: within an event or a comment.
    #[must_use]
    pub fn is_inside(&self) -> bool {
        self.has_fields || self.line != Line::Start
    }

    /// Returns whether an event is complete.
    #[must_use]
    pub fn has_events(&self) -> bool {
        self.events > 0
    }

    /// Returns the number of complete events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether more bytes follow the last complete event than one event may have, 256 KiB.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.open_bytes > MAX_EVENT_BYTES
    }

    /// Returns the length of the first event of `bytes`; `None` if they complete none.
    pub(crate) fn first_end(&mut self, bytes: &[u8]) -> Option<usize> {
        bytes
            .iter()
            .position(|&byte| self.push(byte))
            .map(|last| last + 1)
    }

    /// Follows one byte. Returns whether it completes an event.
    fn push(&mut self, byte: u8) -> bool {
        let is_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        match (byte, self.line) {
            (b'\n', _) if is_after_cr => {}
            (b'\n' | b'\r', Line::Start) => {
                let ends_event = std::mem::take(&mut self.has_fields);
                self.events += u64::from(ends_event);
                return ends_event;
            }
            (b'\n' | b'\r', Line::Comment | Line::Field) => self.line = Line::Start,
            (b':', Line::Start) => self.line = Line::Comment,
            (_, Line::Start) => {
                self.line = Line::Field;
                self.has_fields = true;
            }
            (_, Line::Comment | Line::Field) => {}
        }
        false
    }
}
