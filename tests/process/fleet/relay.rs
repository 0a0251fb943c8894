//! A datagram relay that can hold back or drop the datagrams of existing flows, as a device does that lost its state.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::{net::UdpSocket, task::JoinHandle};

/// The size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The directions in which existing flows are interrupted.
///
/// Datagrams to the target are held for [`Relay::release`], those to the entry node are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    ToTarget,
    ToEntry,
    Both,
}

/// A relay to one target node. It stops when dropped.
pub struct Relay {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    socket: UdpSocket,
    target: SocketAddr,
    flows: Mutex<HashMap<SocketAddr, Flow>>,
}

struct Flow {
    upstream: Arc<UdpSocket>,
    silence: Option<Silence>,
    held: Vec<Vec<u8>>,
}

impl Relay {
    /// Starts a relay to the address `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let address = socket.local_addr().expect("an address");
        let flows = Mutex::default();
        let shared = Arc::new(Shared {
            socket,
            target,
            flows,
        });
        let task = tokio::spawn(shared.clone().run());
        Self {
            address,
            shared,
            task,
        }
    }

    /// Interrupts all existing flows; flows from other ports, which start later, pass.
    pub fn silence(&self, silence: Silence) {
        for flow in self.shared.lock().values_mut() {
            flow.silence = Some(silence);
        }
    }

    /// Ends the interruption and delivers the datagrams held on the way to the target.
    pub async fn release(&self) {
        let released: Vec<_> = self
            .shared
            .lock()
            .values_mut()
            .map(|flow| {
                flow.silence = None;
                (flow.upstream.clone(), std::mem::take(&mut flow.held))
            })
            .collect();
        for (upstream, datagrams) in released {
            for datagram in datagrams {
                upstream.send(&datagram).await.expect("a sent datagram");
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Flow>> {
        self.flows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, source) = received.expect("a datagram");
            if let Some(upstream) = self.upstream_for(source, &buffer[..length]).await {
                let _ = upstream.send(&buffer[..length]).await;
            }
        }
    }

    /// Returns the socket that forwards a datagram from `source` to the target, or `None` if the datagram is held back.
    async fn upstream_for(
        self: &Arc<Self>,
        source: SocketAddr,
        data: &[u8],
    ) -> Option<Arc<UdpSocket>> {
        if let Some(flow) = self.lock().get_mut(&source) {
            if matches!(flow.silence, Some(Silence::ToTarget | Silence::Both)) {
                flow.held.push(data.to_vec());
                return None;
            }
            return Some(flow.upstream.clone());
        }
        let upstream = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        upstream.connect(self.target).await.expect("an address");
        let upstream = Arc::new(upstream);
        let flow = Flow {
            upstream: upstream.clone(),
            silence: None,
            held: Vec::new(),
        };
        self.lock().insert(source, flow);
        tokio::spawn(self.clone().relay_back(source, upstream.clone()));
        Some(upstream)
    }

    async fn relay_back(self: Arc<Self>, source: SocketAddr, upstream: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok(length) = upstream.recv(&mut buffer).await {
            let silence = self.lock().get(&source).and_then(|flow| flow.silence);
            if !matches!(silence, Some(Silence::ToEntry | Silence::Both)) {
                let _ = self.socket.send_to(&buffer[..length], source).await;
            }
        }
    }
}
