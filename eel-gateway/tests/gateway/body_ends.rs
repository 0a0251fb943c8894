//! Each way in which the body of a target's response can end: by its length, by its last chunk or with its connection,
//! whole or cut, closed or reset; for whole responses, streams and batch items.
//!
//! Guards against a truncated response that reaches its caller, or is listed, as a complete one.

use eel_platform::standin::{Behaviour, Cut, Ending, Framing, HOST, RawResponse};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::fixture::{events, fleet, raw_fleet};

use Cut::{BetweenEvents, Empty, InsideEvent, Whole};
use Ending::{Closed, Reset};
use Framing::{Chunks, Connection, Length};

/// All cuts and endings, with whether they truncate a stream.
fn stream_cases() -> Vec<(RawResponse, bool)> {
    let mut cases = Vec::new();
    for framing in [Length, Chunks, Connection] {
        for cut in [Whole, InsideEvent, BetweenEvents, Empty] {
            for ending in [Closed, Reset] {
                let is_truncated = match (framing, cut, ending) {
                    (Connection, _, Reset) | (Connection, InsideEvent | Empty, _) => true,
                    (Connection, Whole | BetweenEvents, _) => false,
                    (Length | Chunks, cut, _) => cut != Whole,
                };
                let response = RawResponse {
                    framing,
                    cut,
                    ending,
                };
                cases.push((response, is_truncated));
            }
        }
    }
    cases
}

fn sent_events(cut: Cut) -> Vec<u64> {
    match cut {
        Whole => vec![1, 2, 3, 4, 5],
        InsideEvent | BetweenEvents => vec![1, 2],
        Empty => Vec::new(),
    }
}

#[tokio::test]
async fn truncated_stream_is_not_complete() {
    let mut wrong = Vec::new();
    for (response, is_truncated) in stream_cases() {
        let raw = raw_fleet(&[response]).await;
        let sent = raw.fleet.post(0, "/once-stream/1", "r1").send().await;
        let received = sent.expect("a response");
        // A stream that fails before its first byte has a status that says so.
        let fails_at_start = is_truncated && response.cut == Empty;
        let status = if fails_at_start { 502 } else { 200 };
        assert_eq!(received.status().as_u16(), status, "{response:?}");
        let (mut ids, is_whole) = events(received).await;
        let is_whole = is_whole && !fails_at_start;
        ids.truncate(sent_events(response.cut).len());
        if is_whole == is_truncated || ids != sent_events(response.cut) {
            wrong.push((response, ids, is_whole));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn truncated_stream_is_resumed() {
    let mut wrong = Vec::new();
    for (response, _) in stream_cases() {
        let raw = raw_fleet(&[response]).await;
        let sent = raw.fleet.post(0, "/resumable-stream/1", "r1").send().await;
        let (ids, is_whole) = events(sent.expect("a response")).await;
        if !is_whole || ids != sent_events(Whole) {
            wrong.push((response, ids, is_whole));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn truncated_item_is_resumed() {
    let mut wrong = Vec::new();
    for (response, _) in stream_cases() {
        let raw = raw_fleet(&[response]).await;
        assert_eq!(raw.fleet.submit(0, "j1", &["stream/1"]).await, 202);
        let results = raw.fleet.results(0, "j1", 1).await;
        let words: Vec<String> = sent_events(Whole)
            .iter()
            .map(|id| format!("word{id}"))
            .collect();
        if results[0]["state"] != "completed" || results[0]["text"] != words.join("\n") {
            wrong.push((response, results));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn truncated_answer_is_not_complete() {
    let mut wrong = Vec::new();
    for (response, _) in stream_cases() {
        // A body that ends with its connection is complete unless the connection fails (RFC 9112, section 8).
        let is_truncated = match (response.framing, response.ending) {
            (Connection, ending) => ending == Reset,
            (Length | Chunks, _) => response.cut != Whole,
        };
        let raw = raw_fleet(&[response]).await;
        let once = raw.fleet.post(0, "/once/1", "r1").send().await;
        let status = once.expect("a response").status().as_u16();
        let raw = raw_fleet(&[response]).await;
        let repeated = raw.fleet.post(0, "/idempotent/1", "r1").send().await;
        let text = repeated.expect("a response").text().await.expect("a body");
        let is_whole = text == "the whole body";
        if (status == 502) != is_truncated || is_whole != (is_truncated || response.cut == Whole) {
            wrong.push((response, status, text));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn caller_without_framing() {
    // The body of a response to HTTP/1.0 ends with its length or with the connection.
    for (path, status, runs) in [("/once-stream/1", 400, 0), ("/once/1", 200, 1)] {
        let fleet = fleet(1, 1).await;
        if path.contains("stream") {
            fleet.targets[0].script(&[Behaviour::DisconnectsAfter(2)]);
        }
        let mut stream = TcpStream::connect(fleet.nodes[0].http)
            .await
            .expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.0\r\nhost: {HOST}\r\nx-eelgrassgap-attempt-id: r1\r\ncontent-length: 1\r\n\r\nx"
        );
        stream.write_all(head.as_bytes()).await.expect("a request");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .await
            .expect("a response");
        let status_line = response.lines().next().unwrap_or_default();
        assert!(
            status_line.contains(&format!(" {status} ")),
            "{path}: {response}"
        );
        assert_eq!(fleet.runs("r1"), runs, "{path}");
    }
}
