//! Guards against events of another run, or the text of an error, within a stream that continues at another target.

use eel_events::{EventBuffer, InvalidEvents, Repeats};

use Repeats::{PassedOver, Refused};

/// Returns whether a response with these events continues a stream.
fn continues(last_event_id: Option<u64>, repeats: Repeats, events: &str) -> bool {
    let mut buffer = EventBuffer::continuing(last_event_id, repeats);
    match buffer.push(events.as_bytes()) {
        Ok(_) => true,
        Err(error) => {
            assert_eq!(error, InvalidEvents::NotContinued);
            false
        }
    }
}

#[test]
fn first_event_table() {
    // The first events, and whether they continue a stream after its second one, where repeats are refused and passed over.
    let cases = [
        ("the next one", "id: 3\ndata: x\n\n", true, true),
        ("the one before", "id: 2\ndata: x\n\n", false, true),
        (
            "from the start",
            "id: 1\n\nid: 2\n\nid: 3\n\nid: 5\n\n",
            false,
            true,
        ),
        (
            "from the start, with a gap",
            "id: 1\n\nid: 4\n\n",
            false,
            false,
        ),
        ("one too far", "id: 4\ndata: x\n\n", false, false),
        ("without an id", "data: failed\n\nid: 3\n\n", false, false),
        ("an odd id", "id: x\ndata: x\n\n", false, false),
        ("a text", "failed\n\n", false, false),
        ("a comment", ": ping\n\n", true, true),
        (
            "a comment, then a text",
            ": ping\n\nfailed\n\n",
            false,
            false,
        ),
        ("a part of an event", "data: fai", true, true),
    ];
    for (name, events, is_strict, is_lenient) in cases {
        assert_eq!(continues(Some(2), Refused, events), is_strict, "{name}");
        assert_eq!(continues(Some(2), PassedOver, events), is_lenient, "{name}");
        assert!(
            continues(None, Refused, events),
            "{name}, of a stream that begins"
        );
    }
}

#[test]
fn no_event_after_the_last_id() {
    for events in ["id: 0\n\n", "data: x\n\n"] {
        assert!(!continues(Some(u64::MAX), Refused, events), "{events}");
    }
}

#[test]
fn later_events_are_free() {
    let mut buffer = EventBuffer::continuing(Some(2), Refused);
    for events in [": ping\n\n", "id: 3\n\nid: 5\n\n", "data: x\n\n"] {
        assert!(buffer.push(events.as_bytes()).is_ok(), "{events}");
    }
}
