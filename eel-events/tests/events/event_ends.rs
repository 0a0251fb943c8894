//! Where the events of a stream end, whatever the line ends and the sizes of the pieces.
//!
//! Guards against a stream that ends within an event being taken for a complete one.

use eel_events::{EventScanner, each};
use quickcheck::quickcheck;

#[test]
fn end_table() {
    // The stream, how many bytes belong to complete events, and whether an end there truncates it.
    let cases: [(&str, Option<usize>, bool); 14] = [
        ("", None, false),
        ("data: a\n\n", Some(9), false),
        ("data: a\n", None, true),
        ("data: a", None, true),
        ("data: a\r\n\r\n", Some(11), false),
        ("data: a\r\n\r", Some(10), false),
        ("data: a\r\n", None, true),
        ("data: a\r\r", Some(9), false),
        ("id: 1\ndata: a\n\nid: 2\n", Some(15), true),
        ("data: a\n\n: ping\n", Some(9), false),
        ("data: a\n\n: pi", Some(9), true),
        ("\n\n\n", None, false),
        (": ping\ndata: a\n\n", Some(16), false),
        ("data: a\n: ping\n", None, true),
    ];
    for (stream, complete, is_inside) in cases {
        let mut scanner = EventScanner::default();
        assert_eq!(scanner.scan(stream.as_bytes()), complete, "{stream:?}");
        assert_eq!(scanner.is_inside(), is_inside, "{stream:?}");
        assert_eq!(scanner.has_events(), complete.is_some(), "{stream:?}");
    }
}

#[test]
fn too_long() {
    const LIMIT_BYTES: usize = 256 * 1024;
    let mut scanner = EventScanner::default();
    scanner.scan(b"data: a\n\n");
    scanner.scan(&vec![b'x'; LIMIT_BYTES]);
    assert!(!scanner.is_too_long());
    scanner.scan(b"x");
    assert!(scanner.is_too_long());
    scanner.scan(b"\n\n");
    assert!(!scanner.is_too_long());
}

quickcheck! {
    fn pieces_of_any_size(choices: Vec<u8>, sizes: Vec<u8>) -> bool {
        const PARTS: [&str; 6] = ["data: a", "\n", "\r", "\r\n", ": c", "id: 1\n\n"];
        let stream: String = choices.iter().map(|it| PARTS[usize::from(*it) % PARTS.len()]).collect();
        let mut whole = EventScanner::default();
        let end = whole.scan(stream.as_bytes());
        let mut scanner = EventScanner::default();
        let mut rest = stream.as_bytes();
        let mut sizes = sizes.into_iter();
        while !rest.is_empty() {
            let size = usize::from(sizes.next().unwrap_or(1)).clamp(1, rest.len());
            scanner.scan(&rest[..size]);
            rest = &rest[size..];
        }
        let complete = &stream.as_bytes()[..end.unwrap_or(0)];
        let rejoined: Vec<u8> = each(complete).flatten().copied().collect();
        scanner.is_inside() == whole.is_inside()
            && scanner.has_events() == whole.has_events()
            && complete.strip_prefix(rejoined.as_slice()).is_some_and(|rest| rest.is_empty() || rest == b"\n")
    }
}
