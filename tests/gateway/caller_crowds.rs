//! Callers that send large bodies slowly, hold many connections or do not read, before one node with a small memory.
//!
//! Guards against a process that grows without bound until it ends, runs out of descriptors, or no longer serves an
//! ordinary caller. Each test sends one shape of traffic from one address. None checks times or shares of requests served.

use std::{fs, net::SocketAddr, time::Duration};

use eel_platform::{
    READINESS_PATH,
    standin::{HOST, StandInTarget, routes},
};
use reqwest::{Client, Response};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::fixture::Fixture;

/// The manifest's limit on bodies.
const BODY_BYTES: usize = 256 * 1024;
/// The node's `memory_mb`; a quarter of it is for bodies and unread responses.
const MEMORY_MB: usize = 64;
/// What the process may use above its idle level, in KB: the budget of bodies, and 16 MB for connections and the allocator.
const MAX_GROWTH_KB: usize = (MEMORY_MB / 4 + 16) * 1024;
/// The limit on open descriptors of the process, and its `max_descriptors`.
const MAX_DESCRIPTORS: usize = 512;
/// Descriptors that must stay free for the store, peers, targets and readiness checks.
const RESERVED_DESCRIPTORS: usize = 64;
/// Callers that send large bodies: they hold 50 MB of bodies together.
const CALLERS: usize = 200;
/// Callers that send bodies in chunks of one byte, and the size of these bodies.
const BYTE_CHUNK_CALLERS: usize = 120;
const BYTE_CHUNK_BODY_BYTES: usize = 128 * 1024;
/// Connections of callers that send nothing or the start of a head: more than the node has descriptors.
const IDLE_CALLERS: usize = 800;
/// How long a caller tries to send before it stops; none is at fault when the node takes longer.
const SEND_TIMEOUT: Duration = Duration::from_secs(9);
/// The node has read what was sent once its memory has not grown for this time, and is not waited for any longer than this.
const STEADY_TIME: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// How long an ordinary caller waits; far more than it needs.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(8);

/// Tests of this kind run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A node with small limits, one target, and the callers before it.
struct Crowd {
    fixture: Fixture,
    target: StandInTarget,
    idle_kb: usize,
    senders: JoinSet<Option<TcpStream>>,
    /// Whether the requests of the crowd run at the target.
    is_served: bool,
    /// The connections of the callers that have sent all that they send.
    open: Vec<TcpStream>,
    _turn: MutexGuard<'static, ()>,
}

impl Crowd {
    async fn start() -> Self {
        Self::start_with(BODY_BYTES).await
    }

    /// Starts a node whose manifest limits bodies to `body_bytes`.
    async fn start_with(body_bytes: usize) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let mut config = routes(1);
        config["limits"] = json!({"maxBodyBytes": body_bytes});
        let max_descriptors = Some(MAX_DESCRIPTORS as u64);
        let limits =
            format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_descriptors = {MAX_DESCRIPTORS}\n");
        let fixture = Fixture::start_limited(&config, &limits, max_descriptors).await;
        let target = StandInTarget::start("scribe", "i-0").await;
        let target = target.expect("a target");
        target.announce(&fixture.store, "ready");
        fixture.wait_served().await;
        let idle_kb = status_kb(&fixture, "VmRSS");
        Self {
            fixture,
            target,
            idle_kb,
            senders: JoinSet::new(),
            is_served: false,
            open: Vec::new(),
            _turn: turn,
        }
    }

    /// Starts `count` callers that send `parts` in turn, and keep the connection open without reading.
    fn send(&mut self, count: usize, parts: &[Vec<u8>]) {
        self.send_to(self.fixture.node.http, count, parts);
    }

    fn send_to(&mut self, node: SocketAddr, count: usize, parts: &[Vec<u8>]) {
        for _ in 0..count {
            let parts = parts.to_vec();
            self.senders.spawn(async move {
                let socket = TcpSocket::new_v4().ok()?;
                // A small window, so that unread responses stay in the node.
                socket.set_recv_buffer_size(4 * 1024).ok()?;
                let mut stream = socket.connect(node).await.ok()?;
                let sending = async {
                    for part in parts {
                        // The node may refuse the request and close the connection at any time.
                        if stream.write_all(&part).await.is_err() {
                            return;
                        }
                        tokio::task::yield_now().await;
                    }
                };
                let _ = timeout(SEND_TIMEOUT, sending).await;
                Some(stream)
            });
        }
    }

    /// Waits until all callers have sent what they can, and checks that the node is alive, small, and serves an ordinary
    /// request while their connections are open.
    async fn check(mut self) {
        let mut most_descriptors = 0;
        while !self.senders.is_empty() {
            // The count is taken while the callers arrive as well.
            if let Ok(Some(sent)) =
                timeout(Duration::from_millis(50), self.senders.join_next()).await
            {
                self.open.extend(sent.expect("a caller"));
            }
            most_descriptors = most_descriptors.max(open_descriptors(&self.fixture));
        }
        self.wait_read().await;
        let answered = self.send_ordinary().await;
        assert!(!self.fixture.node.has_ended(), "the node has ended");
        most_descriptors = most_descriptors.max(open_descriptors(&self.fixture));
        let growth_kb = status_kb(&self.fixture, "VmHWM").saturating_sub(self.idle_kb);
        let status = answered.map(|it| it.status().as_u16());
        println!(
            "idle {} KB, growth {growth_kb} KB of {MAX_GROWTH_KB}, descriptors {most_descriptors}, ordinary {status:?}",
            self.idle_kb
        );
        let log = self.fixture.node.log_tail();
        assert!(
            growth_kb <= MAX_GROWTH_KB,
            "the node grew by {growth_kb} KB"
        );
        assert!(
            most_descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS,
            "the node has {most_descriptors} descriptors open"
        );
        assert!(
            status.as_ref().is_ok_and(|it| *it == 200),
            "an ordinary request ended with {status:?}, {log}"
        );
    }
}

impl Crowd {
    /// Sends an ordinary request. Where the crowd itself sends requests that run, it is sent again for a while after a 503, as
    /// callers do.
    async fn send_ordinary(&self) -> reqwest::Result<Response> {
        let client = Client::builder().no_proxy().build().expect("a client");
        let started = Instant::now();
        loop {
            let request = client
                .post(format!("http://{}/idempotent/1", self.fixture.node.http))
                .header("host", HOST)
                .header("x-eelgrassgap-attempt-id", "ordinary")
                .body("ordinary")
                .timeout(ORDINARY_TIMEOUT);
            let answered = request.send().await;
            let is_refused = answered.as_ref().is_ok_and(|it| it.status() == 503);
            if !(is_refused && self.is_served && started.elapsed() < ORDINARY_TIMEOUT) {
                return answered;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Waits until the node has read what was sent: its memory does not grow any more.
    async fn wait_read(&self) {
        let mut seen = (status_kb(&self.fixture, "VmHWM"), Instant::now());
        let until = seen.1 + READ_TIMEOUT;
        while seen.1.elapsed() < STEADY_TIME && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
            let peak_kb = status_kb(&self.fixture, "VmHWM");
            if peak_kb > seen.0 {
                seen = (peak_kb, Instant::now());
            }
        }
    }
}

/// Returns a figure of the process's status, in KB.
fn status_kb(fixture: &Fixture, name: &str) -> usize {
    let path = format!("/proc/{}/status", fixture.node.pid());
    let status = fs::read_to_string(path).expect("a running process");
    let line = status.lines().find(|line| line.starts_with(name));
    let figure = line.and_then(|line| line.split_whitespace().nth(1));
    figure.and_then(|it| it.parse().ok()).expect("a figure")
}

fn open_descriptors(fixture: &Fixture) -> usize {
    let path = format!("/proc/{}/fd", fixture.node.pid());
    fs::read_dir(path).expect("a running process").count()
}

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
