//! A running HTTP server.

use std::{io, time::Duration};

use salvo::{Router, Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use tokio::{net::TcpListener, task::JoinHandle};

/// A running HTTP server; it stops at once when dropped.
pub struct HttpServer {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Serves `router` at `listener`.
    ///
    /// # Errors
    ///
    /// If the listener cannot be used.
    pub fn start(listener: TcpListener, router: Router) -> io::Result<Self> {
        let acceptor = TcpAcceptor::try_from(listener)?;
        let server = Server::new(acceptor);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Self { handle, task })
    }

    /// Takes no new connections, and waits until the open requests have been answered or `timeout` has passed.
    pub async fn drain(mut self, timeout: Duration) {
        self.handle.stop_graceful(timeout);
        let _ = (&mut self.task).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.handle.stop_forceful();
        self.task.abort();
    }
}
