//! Exchanges load reports between nodes as UDP datagrams, and receives notices of crashes, of limits and of quotas.
//!
//! Each report replaces the sender's previous one, so a lost datagram is made up for by the next one, and there is no
//! connection that could hang.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use eel_fleet::{MAX_REPORT_INTERVAL_MS, PeerReport};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep, sleep_until},
};

use crate::{context::Context, limits, quarantine, quotas};

/// The time between two reports while the load does not change.
const REPORT_INTERVAL: Duration = Duration::from_millis(MAX_REPORT_INTERVAL_MS);
/// The size of the largest report, so that a datagram fits into one packet.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The size of the receive buffer: no report is larger, and no datagram is cut to the size of a valid one.
const MAX_RECEIVED_BYTES: usize = 2 * MAX_DATAGRAM_BYTES;
/// The pause after a receive error of the socket.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sends a report to all peers when the load changes, and at least once per [`REPORT_INTERVAL`].
pub(crate) async fn send_reports(context: &Context, socket: &UdpSocket) {
    loop {
        // This task may be restarted within an incarnation, in which the numbers must not begin again.
        let sequence = 1 + context.report_sequence.fetch_add(1, Ordering::Relaxed);
        let last = Instant::now();
        let report = PeerReport {
            sender: context.incarnation,
            sequence,
            shown_revision: context.shown_revision().0,
            reaches_store: context.reaches_store(),
            takes_batch: context.takes_batch(),
            ..context.slots.report()
        };
        let receivers: Vec<_> = context.peers().receivers().collect();
        let mut parts = report.split(MAX_DATAGRAM_BYTES);
        let count = i64::try_from(parts.len()).unwrap_or(i64::MAX);
        context.metrics.report_parts.set(count);
        for &(address, token) in &receivers {
            for part in &mut parts {
                part.token = token;
                send_datagram(socket, address, part.encode()).await;
            }
        }
        tokio::select! {
            () = sleep_until(last + REPORT_INTERVAL) => {}
            () = context.slots.load_changed.notified() => {
                sleep_until(last + context.slots.report_interval(receivers.len())).await;
            }
        }
    }
}

/// Sends an encoded datagram to a peer; the next one makes up for one that is not sent.
pub(crate) async fn send_datagram<E: fmt::Display>(
    socket: &UdpSocket,
    address: SocketAddr,
    datagram: Result<Vec<u8>, E>,
) {
    match datagram {
        Ok(datagram) => {
            if let Err(error) = socket.send_to(&datagram, address).await {
                log::debug!(target: "peers", "Cannot send a datagram to {address}: {error}.");
            }
        }
        Err(error) => log::error!(target: "peers", "{error}."),
    }
}

/// Receives the reports of other nodes and applies them.
pub(crate) async fn receive_reports(context: &Context, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_RECEIVED_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => match PeerReport::decode(&buffer[..length]) {
                Ok(report) if report.token == context.token => on_report(context, &report),
                _ if quarantine::on_datagram(context, &buffer[..length]) => {}
                _ if limits::on_datagram(context, &buffer[..length]) => {}
                _ if quotas::on_datagram(context, &buffer[..length]) => {}
                _ => {
                    log::debug!(target: "peers", "A datagram from {sender} is neither a load report nor a notice for this node.");
                }
            },
            Err(error) => {
                log::debug!(target: "peers", "Cannot receive load reports: {error}.");
                sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}

fn on_report(context: &Context, report: &PeerReport) {
    let now_ms = context.clock.now_ms();
    let is_latest = context.peers().on_report(now_ms, report);
    if is_latest && report.reaches_store {
        context.on_peer_lease_renewed();
    }
    context
        .slots
        .update(|dispatcher| dispatcher.on_report(now_ms, report));
    if context.runs_batch {
        context.batch_wake.notify_one();
    }
}

/// Binds the UDP socket for load reports.
///
/// # Errors
///
/// The error of the socket if `address` cannot be bound.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Arc::new)
}
