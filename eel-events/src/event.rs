//! Reads single events.

use crate::EventScanner;

/// Returns whether a body with this `content-type` is a stream of events.
#[must_use]
pub fn is_event_stream(content_type: &[u8]) -> bool {
    content_type.starts_with(b"text/event-stream")
}

/// Iterates over complete events, each with the blank line that ends it.
pub fn each(mut events: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let mut scanner = EventScanner::default();
        let end = scanner.first_end(events)?;
        let (event, rest) = events.split_at(end);
        events = rest;
        Some(event)
    })
}

/// Returns the id of an event; `None` if it has none or the id is not a number.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut ids = lines(event).filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}

/// Iterates over the data of an event, line by line.
pub fn event_data(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let data = lines(event).filter_map(|line| line.strip_prefix(b"data:"));
    data.map(|data| data.strip_prefix(b" ").unwrap_or(data))
}

/// Iterates over the lines of an event that are not blank.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event
        .split(|&byte| byte == b'\n' || byte == b'\r')
        .filter(|line| !line.is_empty())
}
