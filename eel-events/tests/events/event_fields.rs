//! The fields of single events.
//!
//! Guards against a stream that is resumed after the wrong event, and against text that is lost or altered.

use eel_events::{event_data, event_id};

#[test]
fn event_ids() {
    let cases: [(&[u8], Option<u64>); 7] = [
        (b"id: 7\ndata: x", Some(7)),
        (b"x-weights:2\nid:8\ndata: id: 9", Some(8)),
        (b"id: 7\r\ndata: x\r\n\r\n", Some(7)),
        (b"data: x\rid: 7\r\r", Some(7)),
        (b"data: id: 9", None),
        (b"id: seven", None),
        (b"", None),
    ];
    for (event, expected) in cases {
        assert_eq!(
            event_id(event),
            expected,
            "{}",
            String::from_utf8_lossy(event)
        );
    }
}

#[test]
fn data_lines() {
    let event = b"id: 1\r\ndata: a\r\ndata:b\r\ndata:  c\r\n\r\n";
    let lines: Vec<&[u8]> = event_data(event).collect();
    assert_eq!(lines, [b"a".as_slice(), b"b", b" c"]);
}
