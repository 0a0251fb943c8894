//! A TCP proxy on loopback that can delay, reset or hold the connections through it.

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
    task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (mode, state) = watch::channel(ProxyMode::Forwards);
        let (server, current) = watch::channel(server);
        let task = tokio::spawn(async move {
            while let Ok((downstream, _)) = listener.accept().await {
                let server = *current.borrow();
                tokio::spawn(relay(downstream, server, state.clone()));
            }
        });
        Self {
            address,
            server,
            mode,
            task,
        }
    }

    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
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

async fn relay(downstream: TcpStream, server: SocketAddr, state: watch::Receiver<ProxyMode>) {
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut resets = state.clone();
    tokio::select! {
        _ = copy(downstream_read, upstream_write, state.clone(), true) => {}
        _ = copy(upstream_read, downstream_write, state, false) => {}
        _ = resets.wait_for(|mode| *mode == ProxyMode::Resets) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<ProxyMode>,
    is_to_server: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
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
        to.write_all(&buffer[..length]).await?;
    }
}
