//! The HTTP server of the VM list.

use std::{
    hash::{DefaultHasher, Hasher as _},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
};

use http::{
    StatusCode,
    header::{ETAG, IF_NONE_MATCH},
};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor,
};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListedVm {
    /// The VM's name.
    pub name: String,
    /// The address of the target node's listener.
    pub address: SocketAddr,
    /// The data centre that the VM is in.
    pub data_centre: String,
    /// The pool that the VM's target belongs to.
    pub pool: String,
    /// `live` or `leaving`.
    pub state: &'static str,
}

/// How the server responds to reads of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFault {
    /// The current list.
    #[default]
    None,
    /// The list as it was when this fault was set.
    Stale,
    /// A list without VMs.
    Empty,
    /// A body that is not a VM list.
    Malformed,
    /// Status 503.
    Unavailable,
    /// No response, on an open connection.
    Hang,
}

#[derive(Debug, Default)]
struct Shared {
    vms: Vec<ListedVm>,
    stale: Vec<ListedVm>,
    fault: ListFault,
    reads: u64,
    bytes: u64,
}

/// A VM list on a loopback port, inside this process. It stops when dropped.
#[derive(Debug)]
pub struct VmListServer {
    shared: Arc<Mutex<Shared>>,
    address: SocketAddr,
    _serving: AbortOnDropHandle<()>,
}

impl VmListServer {
    /// Starts an empty list on a free port.
    ///
    /// # Errors
    ///
    /// An I/O error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let api = Api {
            shared: Arc::clone(&shared),
        };
        let acceptor = TcpAcceptor::try_from(listener)?;
        let router = Router::with_path("{**path}").goal(api);
        let serving = tokio::spawn(Server::new(acceptor).disable_fuse().serve(router));
        Ok(Self {
            shared,
            address,
            _serving: AbortOnDropHandle::new(serving),
        })
    }

    /// Returns the URL of the list.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}/vms", self.address)
    }

    /// Replaces the VMs of the list.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        lock(&self.shared).vms = vms;
    }

    /// Sets the fault of all reads from now on.
    pub fn set_fault(&self, fault: ListFault) {
        let mut shared = lock(&self.shared);
        let Shared { vms, stale, .. } = &mut *shared;
        stale.clone_from(vms);
        shared.fault = fault;
    }

    /// Returns the total size of the lists sent, in bytes.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        lock(&self.shared).bytes
    }

    /// Returns the number of reads, including those that failed or found the list unchanged.
    #[must_use]
    pub fn reads(&self) -> u64 {
        lock(&self.shared).reads
    }
}

fn lock(shared: &Mutex<Shared>) -> std::sync::MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Serialize)]
struct Body {
    vms: Vec<ListedVm>,
}

struct Api {
    shared: Arc<Mutex<Shared>>,
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (fault, vms) = {
            let mut shared = lock(&self.shared);
            shared.reads += 1;
            let vms = match shared.fault {
                ListFault::None => shared.vms.clone(),
                ListFault::Stale => shared.stale.clone(),
                _ => Vec::new(),
            };
            (shared.fault, vms)
        };
        match fault {
            ListFault::None | ListFault::Stale | ListFault::Empty => {
                let body = serde_json::to_vec(&Body { vms }).unwrap_or_default();
                self.send(&body, req, res);
            }
            ListFault::Malformed => {
                let _ = res.write_body("{\"vms\":[{\"name\":1}]}");
            }
            ListFault::Unavailable => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
            ListFault::Hang => std::future::pending().await,
        }
    }
}

impl Api {
    /// Sends the list with its `ETag`, or status 304 if the reader has it already.
    fn send(&self, body: &[u8], req: &Request, res: &mut Response) {
        let tag = etag_of(body);
        let _ = res.add_header(ETAG, tag.as_str(), true);
        let known = req.headers().get(IF_NONE_MATCH);
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            res.status_code(StatusCode::NOT_MODIFIED);
            return;
        }
        lock(&self.shared).bytes += body.len() as u64;
        let _ = res.write_body(body.to_vec());
    }
}

fn etag_of(body: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    format!("\"{:016x}\"", hasher.finish())
}
