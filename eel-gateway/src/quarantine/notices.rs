//! Exchanges notices of crashes and blocked parts between nodes, on the socket of the load reports.

use std::time::Duration;

use eel_quarantine::Notice;
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep_until, timeout_at},
};

use super::crashes::{on_blocked, update_gauge};
use crate::{context::Context, reports::MAX_DATAGRAM_BYTES};

/// The time between two notices while there is something recent to tell, so that a lost one is made up for.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest time between two notices.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(20);

/// Sends notices to all peers after a change and while there is something recent to tell; does not return.
pub(crate) async fn send_notices(context: &Context, socket: &UdpSocket) {
    loop {
        let sent = Instant::now();
        let changed = context.quarantine_changed.notified();
        send(context, socket).await;
        // A notice follows both a change and a timeout.
        let _ = timeout_at(sent + NOTICE_INTERVAL, changed).await;
        sleep_until(sent + MIN_NOTICE_INTERVAL).await;
    }
}

async fn send(context: &Context, socket: &UdpSocket) {
    let mut notice = context.quarantine().notice(context.clock.now_ms());
    if notice.is_empty() {
        return;
    }
    notice.shrink(MAX_DATAGRAM_BYTES);
    let receivers: Vec<_> = context.peers().receivers().collect();
    for (address, token) in receivers {
        notice.token = token;
        match notice.encode() {
            Ok(datagram) => {
                if let Err(error) = socket.send_to(&datagram, address).await {
                    log::debug!(target: "peers", "Cannot send a notice to {address}: {error}.");
                }
            }
            Err(error) => log::error!(target: "peers", "{error}."),
        }
    }
}

/// Applies a datagram if it is a notice for this node. Returns `false` if it is not.
pub(crate) fn on_datagram(context: &Context, datagram: &[u8]) -> bool {
    match Notice::decode(datagram) {
        Ok(notice) if notice.token == context.token => {
            let now_ms = context.clock.now_ms();
            let blocked = context.quarantine().on_notice(now_ms, notice);
            on_blocked(context, &blocked);
            // The notice may have ended blocks as well.
            update_gauge(context);
            true
        }
        _ => false,
    }
}
