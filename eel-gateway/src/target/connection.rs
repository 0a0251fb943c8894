//! A single HTTP/1.1 connection to a target.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use eel_fleet::stable_hash;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use super::fair_stream::FairStream;

/// How long connecting may take: TCP retransmits a lost SYN after a second, and a new attempt is faster than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent data may stay unacknowledged, or unsent because the target does not read, before the connection counts as
/// broken: longer than a sound target may be silent.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// The size of a response's head from which it counts as broken.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The interval of TCP keep-alive probes on a connection that waits for a response.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of requests over a connection, whose ids it keeps: 4 KB.
const MAX_REQUESTS: usize = 512;

/// A connection to a target; dropping it closes it.
pub struct Connection {
    pub address: SocketAddr,
    /// The node's own port, which tells connections to a target apart in the log.
    pub local_port: u16,
    pub sender: SendRequest<Full<Bytes>>,
    /// The target's incarnation that the process at the other end has said to be; `None` if it was not asked.
    pub incarnation: Option<u64>,
    /// Whether it had a request before the present one.
    pub is_kept: bool,
    /// The hashes of the ids of the requests that were sent over it.
    sent: Vec<u64>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// If it cannot be opened within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let local_port = stream.local_addr()?.port();
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        socket.set_tcp_keepalive(
            &TcpKeepalive::new()
                .with_time(KEEP_ALIVE_INTERVAL)
                .with_interval(KEEP_ALIVE_INTERVAL),
        )?;
        let handshake = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(FairStream::new(stream)));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "target", "The connection to the target at {address} ended with an error: {error}.");
            }
        });
        Ok(Self {
            address,
            local_port,
            sender,
            incarnation: None,
            is_kept: false,
            sent: Vec::new(),
            task,
        })
    }

    /// Records that a request is sent over the connection.
    pub fn on_send(&mut self, request_id: &str) {
        self.sent.push(stable_hash(request_id));
    }

    /// Returns whether a request may be sent over the connection. A target may write a response once more, and a request
    /// keeps its id over its attempts, so that a response proves nothing on a connection that had an earlier attempt.
    pub fn may_send(&self, request_id: &str) -> bool {
        !self.sent.contains(&stable_hash(request_id))
    }

    /// Returns whether the connection may be kept for further requests.
    pub fn may_be_kept(&self) -> bool {
        self.sent.len() < MAX_REQUESTS
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
