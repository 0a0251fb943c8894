//! Streams of targets whose body ends by its length, by its last chunk or with its connection.
//!
//! Guards against a stream that a target breaks off within an event and that reaches the caller as a complete one.

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::{
    fleet::{CALLER_KEY, Platform, RawTarget, Service, start_mortal_target},
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

#[tokio::test]
async fn crashed_target() {
    // Only the end of the connection can come from the crash.
    for (frame, is_complete) in [
        (with_length as fn(&str) -> String, true),
        (in_chunks, true),
        (to_the_end, false),
    ] {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
        let url = start_mortal_target(&format!("{head}{}", frame(WHOLE))).await;
        let _target = platform
            .start_target_at("t1", "dispatch-runners", &url)
            .await;
        let entry = platform.start_ready_entry("e1").await;
        let outcome = outcome_of(call(&entry, false, "a", SHORT_DEADLINE_MS)).await;
        let is_success = outcome == CallerOutcome::Success;
        assert_eq!(is_success, is_complete, "{}: {outcome:?}", frame(WHOLE));
    }
}

#[tokio::test]
async fn caller_without_framing() {
    // The body of a response to HTTP/1.0 ends with its length or with the connection.
    for body in [WHOLE, INSIDE_EVENT] {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
        let raw = RawTarget::start(&format!("{head}{}", with_length(body)), false).await;
        let _target = platform
            .start_target_at("t1", "dispatch-runners", &raw.url)
            .await;
        let entry = platform.start_ready_entry("e1").await;
        let address = entry.url.trim_start_matches("http://");
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let request = format!(
            "POST /services/dispatch/billing HTTP/1.0\r\nauthorization: Bearer {CALLER_KEY}\r\n\
             content-length: 9\r\n\r\ntow ready"
        );
        stream
            .write_all(request.as_bytes())
            .await
            .expect("a request");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .await
            .expect("a response");
        let status_line = response.lines().next().unwrap_or_default();
        assert!(status_line.contains(" 502 "), "{body:?}: {response}");
    }
}
