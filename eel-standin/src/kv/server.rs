//! The handle of a running key-value service.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use salvo::{Router, Server, conn::tcp::TcpAcceptor};
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

use super::{
    api::Api,
    fault::{CallCounts, Faults},
    shared::Shared,
};

const EXPIRY_INTERVAL_MS: u64 = 50;

/// A key-value service on a loopback port, inside this process. It stops when dropped.
#[derive(Debug)]
pub struct KvServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    serving: Option<AbortOnDropHandle<()>>,
    _expiry: AbortOnDropHandle<()>,
}

impl KvServer {
    /// Starts an empty service on a free port.
    ///
    /// # Errors
    ///
    /// An I/O error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
    }

    /// Starts an empty service at `address`.
    ///
    /// # Errors
    ///
    /// An I/O error if the address cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::new());
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let serving = serve(listener, &shared)?;
        let expiring = Arc::clone(&shared);
        let expiry = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
                expiring.expire_leases();
            }
        });
        Ok(Self {
            shared,
            address,
            serving: Some(serving),
            _expiry: AbortOnDropHandle::new(expiry),
        })
    }

    /// Returns the base URL, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection and refuses new ones. The data is kept.
    pub async fn stop(&mut self) {
        if let Some(serving) = self.serving.take() {
            serving.abort();
            let _ = serving.await;
        }
    }

    /// Listens again at the same address, after [`stop`](Self::stop).
    ///
    /// # Errors
    ///
    /// An I/O error if the address cannot be bound again.
    pub async fn resume(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.serving = Some(serve(listener, &self.shared)?);
        Ok(())
    }

    /// Sets the faults that the service shows from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns the counts of calls and bytes so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.shared.counts()
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.revision()
    }

    /// Sends nothing more on the watches that are open; watches opened later work.
    pub fn silence_watches(&self) {
        self.shared.with_watchers(super::watcher::Watchers::silence);
    }

    /// Ends the response stream of every open watch.
    pub fn close_watches(&self) {
        self.shared
            .with_watchers(super::watcher::Watchers::close_all);
    }

    /// Sends a progress notification on every open watch.
    pub fn send_progress(&self) {
        self.shared.send_progress();
    }

    /// Revokes every lease and deletes the keys attached to it.
    pub fn revoke_leases(&self) {
        for id in self.shared.lease_ids() {
            let _ = self.shared.revoke(id);
        }
    }

    /// Compacts the history up to the current revision.
    pub fn compact(&self) {
        let _ = self.shared.compact(self.shared.revision());
    }
}

fn serve(listener: TcpListener, shared: &Arc<Shared>) -> io::Result<AbortOnDropHandle<()>> {
    let api = Api {
        shared: Arc::clone(shared),
    };
    let router = Router::with_path("{**path}").goal(api);
    let acceptor = TcpAcceptor::try_from(listener)?;
    let task = tokio::spawn(Server::new(acceptor).disable_fuse().serve(router));
    Ok(AbortOnDropHandle::new(task))
}
