//! A crowd of callers before one node with small limits, and the checks that hold whatever the crowd sends.

use std::{fs, net::SocketAddr, time::Duration};

use eel_platform::standin::{HOST, StandInTarget, routes};
use reqwest::{Client, Response};
use serde_json::json;
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpSocket, TcpStream},
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::fixture::Fixture;

/// The manifest's limit on bodies.
pub const BODY_BYTES: usize = 256 * 1024;
/// The node's `memory_mb`; a quarter of it is for bodies and unread responses.
const MEMORY_MB: usize = 64;
/// What the process may use above its idle level, in KB: the budget of bodies, and 16 MB for connections and the allocator.
const MAX_GROWTH_KB: usize = (MEMORY_MB / 4 + 16) * 1024;
/// The limit on open descriptors of the process, and its `max_descriptors`.
const MAX_DESCRIPTORS: usize = 512;
/// Descriptors that must stay free for the store, peers, targets and readiness checks.
const RESERVED_DESCRIPTORS: usize = 64;
/// How long a caller tries to send before it stops; none is at fault when the node takes longer.
const SEND_TIMEOUT: Duration = Duration::from_secs(9);
/// The node has read what was sent once its memory has not grown for this time, and is not waited for any longer than this.
const STEADY_TIME: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// How long an ordinary caller waits; far more than it needs.
pub const ORDINARY_TIMEOUT: Duration = Duration::from_secs(8);

/// Tests of this kind run one at a time.
pub static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A node with small limits, one target, and the callers before it.
pub struct Crowd {
    pub fixture: Fixture,
    pub target: StandInTarget,
    idle_kb: usize,
    pub senders: JoinSet<Option<TcpStream>>,
    /// Whether the requests of the crowd run at the target.
    pub is_served: bool,
    /// The connections of the callers that have sent all that they send.
    pub open: Vec<TcpStream>,
    _turn: MutexGuard<'static, ()>,
}

impl Crowd {
    pub async fn start() -> Self {
        Self::start_with(BODY_BYTES).await
    }

    /// Starts a node whose manifest limits bodies to `body_bytes`.
    pub async fn start_with(body_bytes: usize) -> Self {
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
    pub fn send(&mut self, count: usize, parts: &[Vec<u8>]) {
        self.send_to(self.fixture.node.http, count, parts);
    }

    pub fn send_to(&mut self, node: SocketAddr, count: usize, parts: &[Vec<u8>]) {
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
    pub async fn check(mut self) {
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
pub fn status_kb(fixture: &Fixture, name: &str) -> usize {
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
