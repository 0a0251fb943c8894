//! Exchanges notices of the limits of targets between nodes, on the socket of the load reports.

use std::time::Duration;

use eel_fleet::LimitNotice;
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    context::Context,
    reports::{MAX_DATAGRAM_BYTES, send_datagram},
};

/// The time between two notices of all that peers may have missed.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Sends notices to all peers after a change, and at intervals while there are limits; does not return.
pub(crate) async fn send_notices(context: &Context, socket: &UdpSocket) {
    let mut told_all = Instant::now();
    loop {
        let peers = context.peers().limit_peers(context.clock.now_ms());
        let receivers = peers.len();
        context.slots.set_nodes(&context.name, peers);
        let sent = Instant::now();
        let is_full = sent >= told_all + NOTICE_INTERVAL;
        if is_full {
            told_all = sent;
        }
        send(context, socket, is_full).await;
        // A notice follows both a change and a timeout.
        let changed = context.slots.limits_changed.notified();
        let _ = timeout_at(told_all + NOTICE_INTERVAL, changed).await;
        sleep_until(sent + context.slots.report_interval(receivers)).await;
    }
}

async fn send(context: &Context, socket: &UdpSocket, is_full: bool) {
    let targets = context.slots.limit_news(is_full);
    if targets.is_empty() {
        return;
    }
    let notice = LimitNotice {
        token: 0,
        sender: context.incarnation,
        targets,
    };
    let receivers: Vec<_> = context.peers().receivers().collect();
    for mut part in notice.split(MAX_DATAGRAM_BYTES) {
        for &(address, token) in &receivers {
            part.token = token;
            send_datagram(socket, address, part.encode()).await;
        }
    }
}

/// Applies a datagram if it is a notice of limits for this node. Returns `false` if it is not.
pub(crate) fn on_datagram(context: &Context, datagram: &[u8]) -> bool {
    match LimitNotice::decode(datagram) {
        Ok(notice) if notice.token == context.token => {
            context.slots.on_limit_notice(&notice);
            true
        }
        _ => false,
    }
}
