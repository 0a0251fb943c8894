//! Callers that send large bodies slowly, hold many connections or do not read, before one node with a small memory.
//!
//! Guards against a process that grows without bound until it ends, runs out of descriptors, or no longer serves an
//! ordinary caller. Each test sends one shape of traffic from one address. None checks times or shares of requests served.

use std::time::Duration;

use eel_platform::{READINESS_PATH, standin::HOST};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

use crate::crowd::{BODY_BYTES, Crowd, ORDINARY_TIMEOUT};

/// Callers that send large bodies: they hold 50 MB of bodies together.
const CALLERS: usize = 200;
/// Callers that send bodies in chunks of one byte, and the size of these bodies.
const BYTE_CHUNK_CALLERS: usize = 120;
const BYTE_CHUNK_BODY_BYTES: usize = 128 * 1024;
/// Connections of callers that send nothing or the start of a head: more than the node has descriptors.
const IDLE_CALLERS: usize = 800;

/// Returns the head of a request with these lines, each of which ends with a line break.
fn head(path: &str, lines: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-eelgrassgap-attempt-id: crowd\r\n{lines}\r\n"
    )
    .into_bytes()
}

fn head_with_length(path: &str, length: usize) -> Vec<u8> {
    head(path, &format!("content-length: {length}\r\n"))
}

fn head_chunked() -> Vec<u8> {
    head("/idempotent/1", "transfer-encoding: chunked\r\n")
}

/// Returns `bytes` bytes of a body in chunks of `size`, without the last chunk.
fn chunks(bytes: usize, size: usize) -> Vec<u8> {
    let chunk = [
        format!("{size:x}\r\n").into_bytes(),
        vec![b'x'; size],
        b"\r\n".to_vec(),
    ];
    chunk.concat().repeat(bytes / size)
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies() {
    let mut crowd = Crowd::start().await;
    let body = vec![b'x'; BODY_BYTES - 1];
    crowd.send(
        CALLERS,
        &[head_with_length("/idempotent/1", BODY_BYTES), body],
    );
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces() {
    let mut crowd = Crowd::start().await;
    let mut parts = vec![head_with_length("/idempotent/1", BODY_BYTES)];
    let body = vec![b'x'; BODY_BYTES - 1];
    parts.extend(body.chunks(4 * 1024).map(<[u8]>::to_vec));
    crowd.send(CALLERS, &parts);
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_chunks() {
    let mut crowd = Crowd::start().await;
    crowd.send(CALLERS, &[head_chunked(), chunks(BODY_BYTES, 32 * 1024)]);
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn byte_chunks() {
    let mut crowd = Crowd::start().await;
    let parts = [head_chunked(), chunks(BYTE_CHUNK_BODY_BYTES, 1)];
    crowd.send(BYTE_CHUNK_CALLERS, &parts);
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_bodies() {
    let mut crowd = Crowd::start().await;
    let body = vec![b' '; BODY_BYTES - 1];
    crowd.send(
        CALLERS,
        &[head_with_length("/jobs/submit", BODY_BYTES), body],
    );
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_over_limit() {
    let mut crowd = Crowd::start().await;
    let body = vec![b'x'; BODY_BYTES - 1];
    let parts = [head_with_length("/idempotent/1", 400 * BODY_BYTES), body];
    crowd.send(CALLERS, &parts);
    crowd.check().await;
}

/// The refusal comes before any byte of the body is sent or asked for.
#[tokio::test(flavor = "multi_thread")]
async fn refused_over_limit() {
    let crowd = Crowd::start().await;
    let length = format!("content-length: {}\r\n", 400 * BODY_BYTES);
    let expecting = format!("{length}expect: 100-continue\r\n");
    let first = [head_with_length("/idempotent/1", 4), b"body".to_vec()].concat();
    for (lines, start) in [(&length, &[][..]), (&expecting, &[]), (&length, &first)] {
        let mut stream = TcpStream::connect(crowd.fixture.node.http)
            .await
            .expect("a connection");
        stream.write_all(start).await.expect("a request");
        let mut response = String::new();
        if !start.is_empty() {
            let mut buffer = [0; 4096];
            let length = stream.read(&mut buffer).await.expect("a response");
            assert!(buffer[..length].starts_with(b"HTTP/1.1 200"));
        }
        let request = head("/idempotent/1", lines);
        stream.write_all(&request).await.expect("a request");
        let read = timeout(ORDINARY_TIMEOUT, stream.read_to_string(&mut response)).await;
        assert!(
            response.starts_with("HTTP/1.1 413"),
            "{lines:?}: {read:?} {response:?}"
        );
    }
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_over_limit() {
    let mut crowd = Crowd::start().await;
    let parts = [head_chunked(), chunks(16 * BODY_BYTES, 32 * 1024)];
    crowd.send(CALLERS, &parts);
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads() {
    let mut crowd = Crowd::start().await;
    let head = format!("POST /idempotent/1 HTTP/1.1\r\nx-a: {}", "x".repeat(15_000));
    crowd.send(IDLE_CALLERS, &[head.into_bytes()]);
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections() {
    let mut crowd = Crowd::start().await;
    crowd.send(IDLE_CALLERS, &[]);
    crowd.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_connections() {
    let mut crowd = Crowd::start().await;
    let ready = crowd.fixture.node.ready;
    crowd.send_to(ready, IDLE_CALLERS, &[]);
    let head = format!("GET {READINESS_PATH} HTTP/1.1\r\n");
    crowd.send_to(ready, CALLERS, &[head.into_bytes()]);
    crowd.check().await;
}

/// Each caller sends many requests at once and reads none of the responses, which repeat the bodies.
#[tokio::test(flavor = "multi_thread")]
async fn unread_responses() {
    let mut crowd = Crowd::start().await;
    crowd.is_served = true;
    let body = vec![b'x'; BODY_BYTES];
    let request = [head_with_length("/idempotent/1", BODY_BYTES), body].concat();
    crowd.send(CALLERS, &vec![request; 4]);
    crowd.check().await;
}

/// Each caller sends many small requests at once and reads none of the responses.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests() {
    let mut crowd = Crowd::start().await;
    let request = [head_with_length("/nowhere/1", 4), b"body".to_vec()].concat();
    crowd.send(CALLERS, &[request.repeat(2_000)]);
    crowd.check().await;
}

/// A body inside the manifest's limit is served where nothing competes with it, though it takes most of an address's share.
#[tokio::test(flavor = "multi_thread")]
async fn largest_body() {
    const BYTES: usize = 4 * 1024 * 1024;
    let crowd = Crowd::start_with(BYTES).await;
    let chunked = [
        head_chunked(),
        chunks(BYTES, 32 * 1024),
        b"0\r\n\r\n".to_vec(),
    ]
    .concat();
    let whole = [head_with_length("/idempotent/1", BYTES), vec![b'x'; BYTES]].concat();
    for request in [whole, chunked] {
        let mut stream = TcpStream::connect(crowd.fixture.node.http)
            .await
            .expect("a connection");
        stream.write_all(&request).await.expect("a request");
        let mut start = [0; 12];
        stream.read_exact(&mut start).await.expect("a response");
        assert_eq!(&start, b"HTTP/1.1 200");
    }
    crowd.check().await;
}

/// Bodies for which there is no memory are refused with a time to come back, and none of them runs.
#[tokio::test(flavor = "multi_thread")]
async fn refused_bodies() {
    /// How long a response is waited for; all bodies that are held take less than the timeout of a body.
    const HELD_TIME: Duration = Duration::from_millis(100);
    let mut crowd = Crowd::start().await;
    let body = vec![b'x'; BODY_BYTES - 1];
    let parts = [head_with_length("/idempotent/1", BODY_BYTES), body];
    crowd.send(CALLERS, &parts);
    let mut refused = 0;
    while let Some(sent) = crowd.senders.join_next().await {
        let Some(mut stream) = sent.expect("a caller") else {
            continue;
        };
        let mut response = String::new();
        let read = timeout(HELD_TIME, stream.read_to_string(&mut response));
        // A caller whose body is held gets nothing yet.
        if read.await.is_err() || response.is_empty() {
            crowd.open.push(stream);
            continue;
        }
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.contains("\r\nretry-after: 0."), "{response:?}");
        refused += 1;
        if refused == 10 {
            break;
        }
    }
    assert_eq!(crowd.target.runs("crowd"), 0);
    assert!(refused > 0, "no body was refused");
    crowd.check().await;
}
