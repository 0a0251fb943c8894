//! Requests that arrive late while a node drains.
//!
//! Guards against a node that takes requests until shortly before its end, and cuts them, or answers 502, where they could
//! have been sent to another node. That happens when the listener stays open while items are handed back, or when the rest
//! of a request is read after the listener was closed.

use std::time::Duration;

use eel_platform::standin::{Behaviour, HOST, StoreFault};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::sleep,
};

use crate::fixture::Fixture;

/// Longer than a node accepts connections after SIGTERM, and shorter than it drains.
const AFTER_CLOSE: Duration = Duration::from_millis(3_200);
/// Longer than the rest of the drain.
const DEADLINE_MS: u64 = 3_000;

#[tokio::test(flavor = "multi_thread")]
async fn new_connection_while_items_are_listed() {
    let (mut fixture, target) = Fixture::start_served().await;
    let pause = Duration::from_secs(1);
    target.set_default_behaviour(Behaviour::PausesAfter(3, pause));
    let items = json!({"items": [{"id": "late-item", "path": "/jobs/stream", "body": ""}]});
    let submitted = fixture.post("/jobs/submit", "j1").body(items.to_string());
    let submitted = submitted.send().await.expect("a response");
    assert_eq!(submitted.status(), 202);
    fixture
        .wait_until("the item runs", async || target.runs("late-item") > 0)
        .await;
    // The result cannot be listed.
    fixture.store.set_fault(StoreFault::Silent);
    sleep(pause * 2).await;
    target.set_default_behaviour(Behaviour::Responds);
    fixture.node.signal(Signal::SIGTERM);
    sleep(AFTER_CLOSE).await;
    let late = fixture.post("/once/1", "late").send().await;
    let is_taken = late.is_ok_and(|response| response.status() == 200);
    assert!(
        !is_taken && target.runs("late") == 0,
        "a late request is taken"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn request_read_after_the_close() {
    let items = json!({"items": [{"id": "late", "path": "/jobs/stream", "body": ""}]}).to_string();
    let cases = [
        ("/once/1", "body"),
        ("/once-stream/1", "body"),
        ("/resumable-stream/1", "body"),
        ("/idempotent/1", "body"),
        ("/jobs/submit", &items),
    ];
    for (path, body) in cases {
        let (mut fixture, target) = Fixture::start_served().await;
        target.set_default_behaviour(Behaviour::Silent);
        let mut stream = TcpStream::connect(fixture.node.http)
            .await
            .expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-eelgrassgap-attempt-id: late\r\n\
             x-eelgrassgap-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let (start, end) = body.split_at(body.len() / 2);
        let first = stream.write_all((head + start).as_bytes()).await;
        first.expect("a head");
        fixture.node.signal(Signal::SIGTERM);
        sleep(AFTER_CLOSE).await;
        stream.write_all(end.as_bytes()).await.expect("a body");
        let mut response = String::new();
        let read = stream.read_to_string(&mut response).await;
        let status = response.get(9..12).unwrap_or_default().to_owned();
        let (runs, tail) = (target.runs("late"), fixture.node.log_tail());
        let seen = format!("{path}: {status:?}, {read:?}, {runs} runs, {tail}");
        assert!(status == "503" && runs == 0, "{seen}");
    }
}
