//! Exchanges notices of crashes and of what is blocked between nodes, on the socket of the load reports.

use std::time::Duration;

use eel_quarantine::{Notice, Scope};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep_until, timeout_at},
};

use super::crashes::{on_blocked, update_gauge};
use crate::{
    context::Context,
    reports::{MAX_DATAGRAM_BYTES, send_datagram},
};

/// The time between two notices while there is something recent to tell, so that a lost one is made up for.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest time between two notices.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(20);

/// Judges crashes, and sends notices to all peers after a change and while there is something recent to tell; does not
/// return.
pub(crate) async fn send_notices(context: &Context, socket: &UdpSocket) {
    loop {
        let sent = Instant::now();
        let changed = context.quarantine_changed.notified();
        for scope in Scope::ALL {
            send(context, scope, socket).await;
        }
        // A notice follows both a change and a timeout.
        let _ = timeout_at(sent + NOTICE_INTERVAL, changed).await;
        sleep_until(sent + MIN_NOTICE_INTERVAL).await;
    }
}

async fn send(context: &Context, scope: Scope, socket: &UdpSocket) {
    let now_ms = context.clock.now_ms();
    let blocked = context.quarantine(scope).judge(now_ms);
    on_blocked(context, scope, &blocked);
    let mut notice = context.quarantine(scope).notice(now_ms);
    if notice.is_empty() {
        return;
    }
    notice.shrink(MAX_DATAGRAM_BYTES);
    let receivers: Vec<_> = context.peers().receivers().collect();
    for (address, token) in receivers {
        notice.token = token;
        send_datagram(socket, address, notice.encode()).await;
    }
}

/// Applies a datagram if it is a notice for this node. Returns `false` if it is not.
pub(crate) fn on_datagram(context: &Context, datagram: &[u8]) -> bool {
    match Notice::decode(datagram) {
        Ok(notice) if notice.token == context.token => {
            let now_ms = context.clock.now_ms();
            let scope = notice.scope;
            let blocked = context.quarantine(scope).on_notice(now_ms, notice);
            on_blocked(context, scope, &blocked);
            // The notice may have ended blocks as well.
            update_gauge(context, scope);
            true
        }
        _ => false,
    }
}
