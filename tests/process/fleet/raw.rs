//! A target that sends the same bytes in response to each request.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// How many bytes an endless response writes at once.
const PIECE_BYTES: usize = 16 * 1024;

/// A running target.
pub struct RawTarget {
    pub url: String,
    /// The bytes that endless responses have written after their start.
    pub endless_bytes: Arc<AtomicU64>,
    /// The number of connections with an endless response that the peer has closed.
    pub closed: Arc<AtomicU64>,
}

impl RawTarget {
    /// Starts a target that sends `response` to each request and closes the connection; if it `is_endless`, bytes follow
    /// until the peer closes it.
    pub async fn start(response: &str, is_endless: bool) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let target = Self {
            url: format!("http://{address}"),
            endless_bytes: Arc::default(),
            closed: Arc::default(),
        };
        let (written, closed) = (target.endless_bytes.clone(), target.closed.clone());
        let response = response.to_owned();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (response, written, closed) =
                    (response.clone(), written.clone(), closed.clone());
                tokio::spawn(async move {
                    if !read_request(&mut stream).await {
                        return;
                    }
                    let mut sent = stream.write_all(response.as_bytes()).await;
                    while is_endless && sent.is_ok() {
                        sent = stream.write_all(&[b'x'; PIECE_BYTES]).await;
                        written.fetch_add(PIECE_BYTES as u64, Ordering::Relaxed);
                    }
                    closed.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        target
    }
}

/// Starts a target whose process ends with its first response; returns its URL.
pub async fn start_mortal_target(response: &str) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    let response = response.to_owned();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_request(&mut stream).await {
                stream
                    .write_all(response.as_bytes())
                    .await
                    .expect("a written response");
                break;
            }
        }
    });
    format!("http://{address}")
}

/// Reads a request whose body has a length. Returns `false` if the connection was closed before.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    loop {
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return false;
        }
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.and_then(|it| it.parse().ok()).unwrap_or(0) {
            return true;
        }
    }
}
