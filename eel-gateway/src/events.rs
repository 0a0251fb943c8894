//! Splits a byte stream, received in chunks of any size, into server-sent events.

use bytes::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";

/// Removes the complete events from the front of `partial` and leaves the incomplete one; `None` if none is complete.
pub(crate) fn take_complete(partial: &mut BytesMut) -> Option<Bytes> {
    let mut windows = partial.windows(EVENT_END.len());
    let end = windows.rposition(|window| window == EVENT_END)? + EVENT_END.len();
    Some(partial.split_to(end).freeze())
}

/// Iterates over complete events, without the blank line that ends each of them.
pub(crate) fn each(mut events: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let mut windows = events.windows(EVENT_END.len());
        let end = windows.position(|window| window == EVENT_END)?;
        let event = &events[..end];
        events = &events[end + EVENT_END.len()..];
        Some(event)
    })
}
