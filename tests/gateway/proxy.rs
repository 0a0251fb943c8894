//! A loopback proxy that delays, resets, cuts one way or silences the connections that pass it.

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

/// What happens to the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Passes,
    Delays(Duration),
    /// Open connections are closed, and new ones at once.
    Resets,
    /// Bytes to the server pass, those back are held.
    HoldsAnswers,
    Silent,
}

/// A proxy before one server; it stops when dropped.
pub struct Proxy {
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (link, state) = watch::channel(Link::Passes);
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, server, state.clone()));
            }
        });
        Self {
            address,
            link,
            task,
        }
    }

    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(near: TcpStream, server: SocketAddr, state: watch::Receiver<Link>) {
    let Ok(far) = TcpStream::connect(server).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut resets = state.clone();
    tokio::select! {
        _ = copy(near_read, far_write, state.clone(), true) => {}
        _ = copy(far_read, near_write, state, false) => {}
        _ = resets.wait_for(|link| *link == Link::Resets) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<Link>,
    is_outward: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let passes = |link: &Link| match link {
            Link::Passes | Link::Delays(_) | Link::Resets => true,
            Link::HoldsAnswers => is_outward,
            Link::Silent => false,
        };
        let link = *state.wait_for(passes).await.map_err(io::Error::other)?;
        if let Link::Delays(delay) = link {
            sleep(delay).await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
