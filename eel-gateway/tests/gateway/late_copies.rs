//! A faulty target that writes an earlier answer once more, late, where the next one is expected.
//!
//! Guards against a caller that gets the answer to another run: of another request, of an earlier request with the same id, or
//! a target's description of itself.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures_util::future::join_all;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::fixture::{Fleet, fleet};

const REQUESTS: usize = 6;
const PAUSES_MS: [u64; 4] = [0, 5, 30, 100];

const SEAL: &str = "x-eelgrassgap-response-seal";
/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// How often each id has run.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// Starts one node before one target that answers each run with `status` and, in the body, the id and the run's number, and
/// announces it.
async fn copying_fleet(status: u16, pause: Duration) -> (Fleet, Runs) {
    let mut fleet = fleet(0, 0).await;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a free port");
    let entry = json!({
        "service": "scribe", "address": listener.local_addr().expect("an address"), "zone": "dc-a", "version": "v1",
        "slots": 2, "state": "ready", "coldLeftMs": 0, "callSeq": 1, "born": 1
    });
    fleet.store.put("servers/i-0", &entry.to_string());
    let runs = Runs::default();
    let counted = runs.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, status, pause, counted.clone()));
        }
    });
    fleet.add_node("node-0", true).await;
    (fleet, runs)
}

async fn serve(mut stream: TcpStream, status: u16, pause: Duration, runs: Runs) -> io::Result<()> {
    let mut earlier = Vec::new();
    while let Some(head) = read_request(&mut stream).await? {
        sleep(pause).await;
        stream.write_all(&earlier).await?;
        earlier = answer(&head, status, &runs);
        stream.write_all(&earlier).await?;
    }
    Ok(())
}

fn answer(head: &str, status: u16, runs: &Runs) -> Vec<u8> {
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-eelgrassgap-attempt-id: "));
    let Some(id) = id else {
        return b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"born\":1}".to_vec();
    };
    let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let run = runs.entry(id.to_owned()).or_default();
    *run += 1;
    let (kind, body) = if head.contains("stream/") && status == 200 {
        let body = format!("id: 1\ndata: {id} run {run}\n\n");
        ("content-type: text/event-stream\r\n", body)
    } else {
        ("", format!("{id} run {run}"))
    };
    let length = body.len();
    let fields = format!("x-eelgrassgap-attempt-id: {id}\r\n{SEAL}: seal\r\n{kind}");
    format!("HTTP/1.1 {status} Answer\r\n{fields}keep-alive: timeout=10\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Reads a request whose body has a length and returns its head in small letters; `None` at the connection's end.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|it| it.parse().ok()).unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(Some(head))
}

/// Sends requests one after the other, each `(path, id)`; returns the answers of the target that were not those to the latest
/// run of their request, and the promises "not run" that are false.
async fn wrong_answers(status: u16, pause_ms: u64, requests: &[(&str, String)]) -> Vec<String> {
    let mut wrong = Vec::new();
    let (fleet, runs) = copying_fleet(status, Duration::from_millis(pause_ms)).await;
    for (path, id) in requests {
        let runs_of_id = || {
            let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.get(id).copied().unwrap_or(0)
        };
        let before = runs_of_id();
        let sent = fleet.post(0, path, id).send().await;
        let response = sent.expect("a response");
        let answered = response.status().as_u16();
        let is_targets = response.headers().contains_key(SEAL);
        let body = response.text().await.unwrap_or_default();
        let run = runs_of_id();
        let is_own = run > before && body.contains(&format!("{id} run {run}"));
        let is_false_promise = PROMISES.contains(&answered) && run > before;
        if (is_targets && !is_own) || is_false_promise {
            let answer = format!("{answered} {body:?} at run {run}");
            wrong.push(format!("{path}, {pause_ms} ms: {id} got {answer}"));
        }
    }
    assert!(runs.lock().is_ok_and(|it| !it.is_empty()), "none ran");
    wrong
}

/// Sends the requests to targets that wait for each of [`PAUSES_MS`], at the same time.
async fn assert_own_answers(status: u16, requests: &[(&str, String)]) {
    let wrong = PAUSES_MS.map(|pause_ms| wrong_answers(status, pause_ms, requests));
    let wrong = join_all(wrong).await.concat();
    let (count, all) = (wrong.len(), requests.len() * PAUSES_MS.len());
    let first = wrong.first();
    assert!(
        first.is_none(),
        "{status}: {count} of {all}, first {first:?}"
    );
}

const PATHS: [&str; 4] = [
    "/once/1",
    "/idempotent/1",
    "/once-stream/1",
    "/resumable-stream/1",
];

#[tokio::test]
async fn copies_for_other_requests() {
    for status in [200, 500, 422, 504] {
        let numbers = 0..REQUESTS * PATHS.len();
        let requests = numbers.map(|number| (PATHS[number % PATHS.len()], format!("r{number}")));
        assert_own_answers(status, &requests.collect::<Vec<_>>()).await;
    }
}

#[tokio::test]
async fn copies_around_a_question() {
    for (first, second) in [(0, 3), (3, 0), (3, 3)] {
        let numbers = 0..REQUESTS;
        let requests = numbers.map(|number| {
            let path = [PATHS[first], PATHS[second]][number % 2];
            (path, format!("r{number}"))
        });
        assert_own_answers(200, &requests.collect::<Vec<_>>()).await;
    }
}

#[tokio::test]
async fn copies_for_the_same_id() {
    for path in PATHS {
        for status in [200, 500, 422] {
            let requests = vec![(path, "r1".to_owned()); REQUESTS];
            assert_own_answers(status, &requests).await;
        }
    }
}
