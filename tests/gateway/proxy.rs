//! A TCP proxy on loopback that can delay, reset or hold the connections through it, and repeat responses.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// How the proxy treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    Forwards,
    Delays(Duration),
    /// Existing connections are closed, and new ones as soon as they are open.
    Resets,
    /// Bytes to the server are forwarded, those from the server are held.
    HoldsResponses,
    /// Bytes in both directions are held.
    HoldsAll,
}

/// A proxy to one server at a time. It stops when dropped.
pub struct Proxy {
    pub address: SocketAddr,
    server: watch::Sender<SocketAddr>,
    mode: watch::Sender<ProxyMode>,
    /// Whether a response without a body is written once more in front of the next response of its connection.
    repeats: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (mode, state) = watch::channel(ProxyMode::Forwards);
        let (server, current) = watch::channel(server);
        let (repeats, repeating) = watch::channel(false);
        let task = tokio::spawn(async move {
            while let Ok((downstream, _)) = listener.accept().await {
                let server = *current.borrow();
                tokio::spawn(relay(downstream, server, state.clone(), repeating.clone()));
            }
        });
        Self {
            address,
            server,
            mode,
            repeats,
            task,
        }
    }

    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    pub fn set_repeats(&self, repeats: bool) {
        self.repeats.send_replace(repeats);
    }

    /// Sets the server of the connections that are opened from now on.
    pub fn set_server(&self, server: SocketAddr) {
        self.server.send_replace(server);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(
    downstream: TcpStream,
    server: SocketAddr,
    state: watch::Receiver<ProxyMode>,
    repeats: watch::Receiver<bool>,
) {
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut resets = state.clone();
    tokio::select! {
        _ = copy(downstream_read, upstream_write, state.clone(), None) => {}
        _ = copy(upstream_read, downstream_write, state, Some(repeats)) => {}
        _ = resets.wait_for(|mode| *mode == ProxyMode::Resets) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<ProxyMode>,
    repeats: Option<watch::Receiver<bool>>,
) -> io::Result<()> {
    let is_to_server = repeats.is_none();
    let mut buffer = vec![0; 16 * 1024];
    let mut earlier: Option<Vec<u8>> = None;
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let forwards = |mode: &ProxyMode| match mode {
            ProxyMode::Forwards | ProxyMode::Delays(_) | ProxyMode::Resets => true,
            ProxyMode::HoldsResponses => is_to_server,
            ProxyMode::HoldsAll => false,
        };
        let mode = *state.wait_for(forwards).await.map_err(io::Error::other)?;
        if let ProxyMode::Delays(delay) = mode {
            sleep(delay).await;
        }
        let bytes = &buffer[..length];
        if let Some(copy) = earlier.take() {
            to.write_all(&copy).await?;
        }
        to.write_all(bytes).await?;
        if repeats.as_ref().is_some_and(|it| *it.borrow()) && is_empty_response(bytes) {
            earlier = Some(bytes.to_vec());
        }
    }
}

fn is_empty_response(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    text.starts_with("HTTP/1.1 ")
        && text.contains("content-length: 0\r\n")
        && text.ends_with("\r\n\r\n")
}
