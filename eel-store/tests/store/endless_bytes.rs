//! A service that sends bytes without end until the client closes the connection.
//!
//! Guards against a client that keeps them until the memory of its node is used up.

use std::time::Duration;

use eel_store::{HttpVmList, KeyValue as _, VmList as _, VmListError, WatchOptions};
use futures_util::StreamExt as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::JoinSet,
    time::sleep,
};

use crate::fixture::{CALL_TIMEOUT_MS, client};

/// How much of one response a client may take: a quarter of the smallest node's memory, 120 MB.
const MAX_TAKEN_BYTES: u64 = 30 << 20;
/// How often a service looks whether its peer has read all that was written, so that the buffers of the system, which may hold
/// more than that, do not count as taken.
const BUFFER_POLL_INTERVAL: Duration = Duration::from_micros(200);
/// How much a connection gets at most, so that the test ends.
const MAX_WRITTEN_BYTES: u64 = 100 << 20;

/// Returns how much of what was written to a connection over the loopback interface the system holds: what the peer has not
/// acknowledged, and what it has received and not read. The peer has taken the rest.
async fn buffered_bytes(stream: &TcpStream) -> u64 {
    let (Ok(own), Ok(peer)) = (stream.local_addr(), stream.peer_addr()) else {
        return 0;
    };
    // Source: the manual of procfs, `/proc/net/tcp`.
    let sockets = tokio::fs::read_to_string("/proc/net/tcp").await;
    let sockets = sockets.expect("the sockets");
    let (own, peer) = (
        format!(":{:04X}", own.port()),
        format!(":{:04X}", peer.port()),
    );
    let hex = |text: &str| u64::from_str_radix(text, 16).expect("a number");
    let held = sockets.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote) = (fields.next()?, fields.next()?);
        let (unsent, unread) = fields.nth(1)?.split_once(':')?;
        if local.ends_with(&own) && remote.ends_with(&peer) {
            Some(hex(unsent))
        } else if local.ends_with(&peer) && remote.ends_with(&own) {
            Some(hex(unread))
        } else {
            None
        }
    });
    held.sum()
}

/// A service whose connections that are over are named with the bytes that each of them got.
struct Endless {
    url: String,
    closed: UnboundedReceiver<u64>,
    _tasks: JoinSet<()>,
}

impl Endless {
    /// Starts a service that sends `start`, and then `piece` again and again.
    async fn start(start: &'static str, piece: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (ended, closed) = unbounded_channel();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let ended = ended.clone();
                connections.spawn(async move {
                    let _ = stream.read(&mut [0; 4096]).await;
                    let mut sent = stream.write_all(start.as_bytes()).await;
                    let pieces = piece.repeat(64 * 1024 / piece.len());
                    let mut written = 0;
                    while sent.is_ok() && written < MAX_WRITTEN_BYTES {
                        while buffered_bytes(&stream).await > 0 {
                            sleep(BUFFER_POLL_INTERVAL).await;
                        }
                        sent = stream.write_all(pieces.as_bytes()).await;
                        written += pieces.len() as u64;
                    }
                    let _ = ended.send(written);
                });
            }
        });
        Self {
            url: format!("http://{address}"),
            closed,
            _tasks: tasks,
        }
    }

    /// Waits until a connection is over, and checks how much it got.
    async fn check_closed(&mut self, case: &str) {
        let taken_bytes = self.closed.recv().await.expect("a connection");
        assert!(taken_bytes <= MAX_TAKEN_BYTES, "{case}: {taken_bytes}");
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-endless: ";
const BODY: &str = "HTTP/1.1 200 OK\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 No\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = "10\r\n                \r\n";
const CASES: [(&str, &str); 4] = [(HEAD, "x"), (BODY, " "), (ERROR, "x"), (CHUNKED, CHUNK)];

#[tokio::test]
async fn watches() {
    for (start, piece) in CASES {
        let mut service = Endless::start(start, piece).await;
        let mut watch = client(vec![service.url.clone()]).watch(WatchOptions {
            prefix: "a".into(),
            from_revision: None,
        });
        tokio::select! {
            event = watch.next() => panic!("{event:?}"),
            () = service.check_closed(start) => {}
        }
    }
}

#[tokio::test]
async fn vm_lists() {
    for (start, piece) in CASES {
        let mut service = Endless::start(start, piece).await;
        let list = HttpVmList::new(service.url.clone(), CALL_TIMEOUT_MS).expect("an HTTP client");
        let read = list.read().await;
        service.check_closed(start).await;
        let error = read.expect_err("no list");
        assert_eq!(*error.current_context(), VmListError::Unavailable);
    }
}
