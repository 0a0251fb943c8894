//! An HTTP server with graceful shutdown.

use std::{io, time::Duration};

use salvo::{Router, Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use tokio::{net::TcpListener, task::JoinHandle};

/// A running HTTP server. Dropping it closes all connections at once.
pub struct HttpServer {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts a task that serves `router` on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be converted for asynchronous use.
    pub fn start(listener: TcpListener, router: Router) -> io::Result<Self> {
        let acceptor = TcpAcceptor::try_from(listener)?;
        let server = Server::new(acceptor);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Self { handle, task })
    }

    /// Stops accepting connections and waits until all open requests have ended or `timeout` has passed.
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
