//! A service that sends bytes without end until the client closes the connection.
//!
//! Guards against a client that keeps them until the memory of its node is used up.

use eel_store::{HttpVmList, KeyValue as _, VmList as _, VmListError, WatchOptions};
use futures_util::StreamExt as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::JoinSet,
};

use crate::fixture::{CALL_TIMEOUT_MS, client};

/// How much of one response a client may take: a quarter of the smallest node's memory, 120 MB.
const MAX_TAKEN_BYTES: u64 = 30 << 20;
/// How much a connection gets at most, so that the test ends.
const MAX_WRITTEN_BYTES: u64 = 100 << 20;

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
