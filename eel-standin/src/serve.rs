//! HTTP servers on loopback addresses that stop when their handle is dropped.

use std::net::SocketAddr;

use salvo::{Router, Server, conn::tcp::TcpAcceptor};
use tokio::{net::TcpListener, task::JoinHandle};

/// A running HTTP server. It stops when dropped.
pub struct RunningServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Serves `router` on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub async fn start(router: Router) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), router).await
    }

    /// Serves `router` at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub async fn start_at(address: SocketAddr, router: Router) -> Self {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let acceptor = TcpAcceptor::try_from(listener).expect("a bound listener");
        let server = Server::new(acceptor).disable_fuse();
        let task = tokio::spawn(server.serve(router));
        Self { address, task }
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the server's base URL, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
