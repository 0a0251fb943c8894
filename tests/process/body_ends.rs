//! Streams of targets whose body ends by its length, by its last chunk or with its connection.
//!
//! Guards against a stream that a target breaks off within an event and that reaches the caller as a complete one.

use crate::{
    fleet::{Platform, RawTarget, Service},
    outcome::{CallerOutcome, SHORT_DEADLINE_MS, call, outcome_of},
};

const WHOLE: &str = "data: a\n\ndata: b\n\n";
const INSIDE_EVENT: &str = "data: a\n\ndata: b\n";

fn with_length(body: &str) -> String {
    format!("content-length: {}\r\n\r\n{body}", body.len())
}

fn in_chunks(body: &str) -> String {
    let length = body.len();
    format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
}

fn to_the_end(body: &str) -> String {
    format!("\r\n{body}")
}

#[tokio::test]
async fn truncated_stream_is_not_complete() {
    let framings = [with_length, in_chunks, to_the_end];
    for (number, frame) in framings.into_iter().enumerate() {
        for (body, is_complete) in [(WHOLE, true), (INSIDE_EVENT, false)] {
            let mut platform = Platform::start(&[Service::Dispatch]).await;
            let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
            let raw = RawTarget::start(&format!("{head}{}", frame(body)), false).await;
            let _target = platform
                .start_target_at("t1", "dispatch-runners", &raw.url)
                .await;
            let entry = platform.start_ready_entry("e1").await;
            let outcome = outcome_of(call(&entry, false, "a", SHORT_DEADLINE_MS)).await;
            let is_success = outcome == CallerOutcome::Success;
            assert_eq!(
                is_success, is_complete,
                "framing {number}, {body:?}: {outcome:?}"
            );
        }
    }
}
