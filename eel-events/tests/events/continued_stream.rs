//! Guards against events of another run, or the text of an error, within a stream that continues at another target.

use eel_events::{Continuation, NotContinued};

#[test]
fn first_event_table() {
    type Case<'a> = (&'a str, Option<u64>, &'a [u8], Result<(), NotContinued>);
    let cases: [Case<'_>; 10] = [
        ("the next one", Some(2), b"id: 3\ndata: x\n\n", Ok(())),
        (
            "the one before",
            Some(2),
            b"id: 2\ndata: x\n\n",
            Err(NotContinued),
        ),
        (
            "one too far",
            Some(2),
            b"id: 4\ndata: x\n\n",
            Err(NotContinued),
        ),
        (
            "without an id",
            Some(2),
            b"data: failed\n\n",
            Err(NotContinued),
        ),
        (
            "an odd id",
            Some(2),
            b"id: x\ndata: x\n\n",
            Err(NotContinued),
        ),
        ("a text", Some(2), b"failed\n\n", Err(NotContinued)),
        ("a comment", Some(2), b": ping\n\n", Ok(())),
        (
            "a comment, then a text",
            Some(2),
            b": ping\n\nfailed\n\n",
            Err(NotContinued),
        ),
        ("a stream that begins", None, b"data: x\n\n", Ok(())),
        (
            "past the last id",
            Some(u64::MAX),
            b"id: 0\n\n",
            Err(NotContinued),
        ),
    ];
    for (name, after, events, expected) in cases {
        let mut continuation = Continuation::after(after);
        assert_eq!(continuation.check(events), expected, "{name}");
    }
}

#[test]
fn later_events_are_free() {
    let mut continuation = Continuation::after(Some(2));
    assert_eq!(continuation.check(b": ping\n\n"), Ok(()));
    assert_eq!(continuation.check(b"id: 3\n\nid: 5\n\n"), Ok(()));
    assert_eq!(continuation.check(b"data: x\n\n"), Ok(()));
}

#[test]
fn first_new_event_table() {
    let cases: [(&str, &[u8], Result<(), NotContinued>); 5] = [
        ("the next one", b"id: 3\n\n", Ok(())),
        (
            "from the start",
            b"id: 1\n\nid: 2\n\nid: 3\n\nid: 5\n\n",
            Ok(()),
        ),
        ("without an id", b"data: x\n\nid: 3\n\n", Err(NotContinued)),
        ("one too far", b"id: 4\n\n", Err(NotContinued)),
        (
            "from the start, with a gap",
            b"id: 1\n\nid: 4\n\n",
            Err(NotContinued),
        ),
    ];
    for (name, events, expected) in cases {
        let mut continuation = Continuation::after(Some(2));
        assert_eq!(continuation.check_new(events), expected, "{name}");
    }
}
