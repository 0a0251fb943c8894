//! Processes at the addresses of targets and of the store that send bytes without end until the node closes the connection.
//!
//! Guards against a node that keeps what it reads until its memory is used up, which ends the requests of all its callers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eel_platform::{
    TARGET_STATE_PATH,
    standin::{StandInTarget, routes},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    crowd::{ONE_AT_A_TIME, status_kb},
    fixture::{Fixture, PATHS},
    proxy::ProxyMode,
};

/// The node's `memory_mb`, that of the smallest node.
const MEMORY_MB: usize = 120;
/// What the process may use above its idle level, in KB: a quarter of its memory for unread responses, and what the idle
/// process leaves of the half for itself and running requests.
const MAX_GROWTH_KB: usize = (MEMORY_MB / 4 + MEMORY_MB / 2 - 33) * 1024;
/// The faulty targets, the slots of each, and the requests that are sent to them at once.
const TARGETS: usize = 4;
const SLOTS: usize = 16;
const REQUESTS: usize = TARGETS * SLOTS;
/// How long the callers of faulty targets wait.
const DEADLINE_MS: u64 = 1_000;
/// How long a faulty store sends.
const FAULTY_TIME: Duration = Duration::from_secs(3);
/// How much a faulty process writes at once, and to all connections together.
const PIECE_BYTES: usize = 16 * 1024;
const MAX_WRITTEN_BYTES: u64 = 400 << 20;

/// The response of a faulty process: its start, and what is repeated after it.
#[derive(Clone, Copy, Debug)]
struct Endless {
    start: &'static str,
    piece: &'static str,
    /// Whether it is the answer to the question about the state of a target.
    is_state: bool,
}

const fn endless(start: &'static str, piece: &'static str) -> Endless {
    Endless {
        start,
        piece,
        is_state: false,
    }
}

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const BODY: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const SEALED: &str = "HTTP/1.1 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ncontent-type: text/event-stream\r\n\r\n";
const SEALED_CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n";
const SEALED_LENGTH: &str = "HTTP/1.1 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ncontent-length: 1000000000000\r\n\r\n";
const SEALED_WHOLE: &str = "HTTP/1.1 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ncontent-length: 0\r\nkeep-alive: timeout=9\r\n\r\n";

const LONG_EVENT: &str = "id: {n}\ndata: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n";

/// A process that sends an endless response to each request whose id starts with `faulty`, or to all of them.
struct Faulty {
    address: SocketAddr,
    written: Arc<AtomicU64>,
    _tasks: JoinSet<()>,
}

impl Faulty {
    async fn start(response: Endless, answers_others: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let written = Arc::<AtomicU64>::default();
        let (count, mut tasks) = (written.clone(), JoinSet::new());
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, response, answers_others, count.clone()));
            }
        });
        Self {
            address,
            written,
            _tasks: tasks,
        }
    }

    fn written_mb(&self) -> u64 {
        self.written.load(Ordering::Relaxed) >> 20
    }
}

async fn serve(
    mut stream: TcpStream,
    response: Endless,
    answers_others: bool,
    written: Arc<AtomicU64>,
) {
    let mut received = Vec::new();
    let id = loop {
        received.clear();
        let text = loop {
            if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                return;
            }
            let text = String::from_utf8_lossy(&received).to_lowercase();
            if text.contains("\r\n\r\n") {
                break text;
            }
        };
        let id = text.split("attempt-id: ").nth(1);
        let id = id.and_then(|it| it.lines().next()).unwrap_or_default();
        let asks_for_state = text.contains(TARGET_STATE_PATH);
        let answer = match (asks_for_state, answers_others) {
            (true, true) if !response.is_state => r#"{"born":1}"#,
            (false, true) if response.is_state || !id.starts_with("faulty") => "answer",
            _ => break id.to_owned(),
        };
        let length = answer.len();
        let seal =
            format!("x-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\n");
        let text = format!("{HEAD}{seal}content-length: {length}\r\n\r\n{answer}");
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    };
    let start = response.start.replace("{id}", &id);
    let mut sent = stream.write_all(start.as_bytes()).await;
    let count = PIECE_BYTES.div_ceil(response.piece.len());
    let mut number = 0_u64;
    let fixed = (!response.piece.contains("{n}")).then(|| response.piece.repeat(count));
    while sent.is_ok() && written.load(Ordering::Relaxed) < MAX_WRITTEN_BYTES {
        let pieces = fixed.clone().unwrap_or_else(|| {
            let mut next = || {
                number += 1;
                response.piece.replace("{n}", &number.to_string())
            };
            (0..count).map(|_| next()).collect()
        });
        sent = stream.write_all(pieces.as_bytes()).await;
        written.fetch_add(pieces.len() as u64, Ordering::Relaxed);
    }
}

/// A node with a small memory behind which one process is faulty.
struct Small {
    fixture: Fixture,
    idle_kb: usize,
    cut: Vec<String>,
}

impl Small {
    async fn new(fixture: Fixture) -> Self {
        fixture.wait_served().await;
        let idle_kb = status_kb(&fixture, "VmRSS");
        Self {
            fixture,
            idle_kb,
            cut: Vec::new(),
        }
    }

    /// Sends a request of another caller, which must get a response.
    async fn send_ordinary(&mut self, id: String) {
        let sent = self.fixture.post("/idempotent/1", &id).send().await;
        match sent {
            Ok(response) => {
                let status = response.status();
                let body = response.bytes().await;
                // A refusal is no cut: it says when to come back.
                if !(status == 503 || status == 200 && body.is_ok()) {
                    let log = self.fixture.node.log_of(&format!("\"{id}\""));
                    self.cut.push(format!("{id}: {status}, {body:?}, {log}"));
                }
            }
            Err(error) => self.cut.push(format!("{id}: {error:?}")),
        }
    }

    /// Sends requests of other callers for [`FAULTY_TIME`].
    async fn send_ordinary_while_faulty(&mut self) {
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < FAULTY_TIME {
            number += 1;
            self.send_ordinary(format!("ordinary-{number}")).await;
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the growth of the process if it is too much, or what else is wrong.
    fn check(&mut self, case: Endless, written_mb: u64) -> Option<String> {
        assert!(!self.fixture.node.has_ended(), "the node has ended");
        let growth_kb = status_kb(&self.fixture, "VmHWM").saturating_sub(self.idle_kb);
        let cut = &self.cut;
        let seen = format!(
            "{case:?}: {written_mb} MB written, growth {growth_kb} KB of {MAX_GROWTH_KB}, cut: {cut:?}"
        );
        println!("{seen}");
        (growth_kb > MAX_GROWTH_KB || !cut.is_empty()).then_some(seen)
    }
}

fn limits() -> String {
    format!("[limits]\nmemory_mb = {MEMORY_MB}\n")
}

/// Starts a small node before a sound target and faulty ones.
async fn small_node(response: Endless) -> (Small, Vec<Faulty>) {
    let fixture = Fixture::start_limited(&routes(1), &limits(), None).await;
    let sound = StandInTarget::start("scribe", "i-sound").await;
    let sound = sound.expect("a target");
    sound.announce(&fixture.store, "ready");
    let small = Small::new(fixture).await;
    let mut faulty = Vec::new();
    for number in 0..TARGETS {
        let target = Faulty::start(response, true).await;
        let entry = json!({
            "service": "scribe", "address": target.address, "zone": "dc-a", "version": "v1", "slots": SLOTS,
            "state": "ready", "coldLeftMs": 0, "callSeq": 1, "born": 1
        });
        let key = format!("servers/i-{number}");
        small.fixture.store.put(&key, &entry.to_string());
        faulty.push(target);
    }
    sleep(Duration::from_millis(500)).await;
    (small, faulty)
}

/// Runs as many items at once at faulty targets; returns what is wrong.
async fn run_items(response: Endless) -> Option<String> {
    let (mut small, faulty) = small_node(response).await;
    let item = |number| json!({"id": format!("faulty-{number}"), "path": "/jobs/stream/1"});
    let items: Vec<_> = (0..REQUESTS).map(item).collect();
    let body = json!({"items": items}).to_string();
    let sent = small.fixture.post("/jobs/submit", "faulty-job").body(body);
    let sent = sent.send().await.expect("a response");
    assert_eq!(sent.status(), 202);
    small.send_ordinary_while_faulty().await;
    let written_mb = faulty.iter().map(Faulty::written_mb).sum();
    small.check(response, written_mb)
}

/// Sends many requests at once to faulty targets; returns what is wrong.
async fn send_to_targets(response: Endless) -> Option<String> {
    let (mut small, faulty) = small_node(response).await;
    let mut callers = JoinSet::new();
    for number in 0..REQUESTS {
        let path = PATHS[number % PATHS.len()];
        let reads = (number / PATHS.len()).is_multiple_of(2);
        let request = small.fixture.post(path, &format!("faulty-{number}"));
        let request = request.header("x-eelgrassgap-deadline-ms", DEADLINE_MS.to_string());
        callers.spawn(async move {
            let Ok(mut response) = request.send().await else {
                return;
            };
            while reads && matches!(response.chunk().await, Ok(Some(_))) {}
            if !reads {
                sleep(Duration::from_millis(DEADLINE_MS)).await;
            }
        });
    }
    let mut number = 0;
    while !callers.is_empty() {
        while callers.try_join_next().is_some() {}
        number += 1;
        small.send_ordinary(format!("ordinary-{number}")).await;
        sleep(Duration::from_millis(50)).await;
    }
    let written_mb = faulty.iter().map(Faulty::written_mb).sum();
    small.check(response, written_mb)
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_targets() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let cases = [
        endless("HTTP/1.1 200 ", "x"),
        endless("HTTP/1.1 200 OK\r\nx-a: ", "x"),
        endless(HEAD, "x-{n}: xxxxxxxx\r\n"),
        endless("HTTP/1.1 200 OK\r\nx-a: a\r\n", " folded\r\n"),
        endless("", INTERIM),
        endless(SEALED, "x"),
        endless(SEALED, ": comment\n"),
        endless(SEALED, "id: {n}\ndata: x\n\n"),
        endless(SEALED_LENGTH, "x"),
        endless(SEALED_CHUNKED, "1;ext=xxxx\r\nx\r\n"),
        endless(
            "HTTP/1.1 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n4;",
            "ext",
        ),
        endless(
            "HTTP/1.1 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\nfffffffffff\r\n",
            "x",
        ),
        endless(
            "HTTP/1.1 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "x-{n}: xxxxxxxx\r\n",
        ),
        endless(SEALED_WHOLE, "x"),
        Endless {
            is_state: true,
            ..endless("", INTERIM)
        },
        Endless {
            is_state: true,
            ..endless(BODY, "x")
        },
        Endless {
            is_state: true,
            ..endless(CHUNKED, "1\r\nx\r\n")
        },
    ];
    let mut wrong = Vec::new();
    for response in cases {
        wrong.extend(send_to_targets(response).await);
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_targets_of_items() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let mut wrong = Vec::new();
    for response in [
        endless(SEALED, "x"),
        endless(SEALED, "data: x\n\n"),
        endless(SEALED, LONG_EVENT),
    ] {
        wrong.extend(run_items(response).await);
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_store() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let mut wrong = Vec::new();
    for response in [
        endless("HTTP/1.1 200 OK\r\nx-a: ", "x"),
        endless("", INTERIM),
        endless(BODY, " "),
        endless(CHUNKED, "4\r\n    \r\n"),
        endless("HTTP/1.1 500 No\r\n\r\n", "x"),
    ] {
        let (fixture, proxy) = Fixture::start_proxied(&routes(1), &limits()).await;
        let target = StandInTarget::start("scribe", "i-0").await;
        let target = target.expect("a target");
        target.announce(&fixture.store, "ready");
        let mut small = Small::new(fixture).await;
        let faulty = Faulty::start(response, false).await;
        proxy.set_server(faulty.address);
        proxy.set(ProxyMode::Resets);
        // All connections are closed meanwhile.
        sleep(Duration::from_millis(100)).await;
        proxy.set(ProxyMode::Forwards);
        small.send_ordinary_while_faulty().await;
        wrong.extend(small.check(response, faulty.written_mb()));
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
