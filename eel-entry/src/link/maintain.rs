//! Opens a connection to a target node and maintains it with pings until it closes or goes silent.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use eel_types::{Clock, Incarnation, LoadReport, Name, Revision};
use eel_wire::{
    codec,
    message::{Configuration, EntryControl, Ping, TargetControl},
};
use error_stack::Report;
use quinn::{Endpoint, RecvStream, SendStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{
    endpoints::Endpoints,
    session::{OpenedSession, Session, hello_message, open},
};
use crate::node::Context;

/// The interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// The time without a message from the target node after which a connection counts as silent.
const SILENCE_TIMEOUT_MS: u64 = 1_500;

/// Receives the events of a connection and provides what it sends to the target node.
pub(crate) trait LinkEvents: Send + Sync + 'static {
    /// The target node has sent a welcome or a pong.
    fn on_heartbeat(&self, incarnation: Incarnation, load: LoadReport, revision: Revision);
    /// The target node is shutting down and accepts no new work.
    fn on_leaving(&self, incarnation: Incarnation);
    /// The connection has ended or could not be opened. `incarnation` is absent if it was never open.
    fn on_disconnected(&self, incarnation: Option<Incarnation>, reason: DisconnectReason);
    /// Returns whether there are batch items for this target.
    fn wants_credits(&self) -> bool;
    /// Returns a receiver of the configurations to send to the target node.
    fn configuration(&self) -> watch::Receiver<Arc<Configuration>>;
}

/// The link to one target node, across its successive connections.
pub(crate) struct Link {
    pub(crate) vm: Name,
    generation: AtomicU64,
    /// Whether the next connection is opened from a dedicated local port.
    needs_dedicated_port: AtomicBool,
    /// The number of silent connections on which attempts still run.
    lingering: AtomicU32,
    current: watch::Sender<Option<Arc<Session>>>,
}

impl Link {
    pub(crate) fn new(vm: Name) -> Self {
        Self {
            vm,
            generation: AtomicU64::new(0),
            needs_dedicated_port: AtomicBool::new(false),
            lingering: AtomicU32::new(0),
            current: watch::Sender::new(None),
        }
    }

    /// Returns the open connection, if there is one.
    pub(crate) fn session(&self) -> Option<Arc<Session>> {
        self.current.borrow().clone()
    }

    /// Returns the endpoint from which the next connection is opened.
    fn endpoint(&self, endpoints: &Endpoints) -> Endpoint {
        if !self.needs_dedicated_port.load(Ordering::Relaxed) {
            return endpoints.shared();
        }
        endpoints.dedicated().unwrap_or_else(|error| {
            log::warn!(target: "link", "Cannot bind a dedicated port for the link to {}: {error}.", self.vm);
            endpoints.shared()
        })
    }

    /// Selects the port of the next connection: a dedicated one after a silence or a failure to open, else the shared
    /// one.
    fn set_needs_dedicated_port(&self, needs_dedicated_port: bool) {
        self.needs_dedicated_port
            .store(needs_dedicated_port, Ordering::Relaxed);
    }

    fn next_generation(&self) -> u64 {
        self.generation.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Makes `session` the current connection. The attempts of an earlier one are then settled over `session`.
    fn publish(&self, session: Arc<Session>) {
        if let Some(earlier) = self.current.send_replace(Some(session)) {
            earlier.lose();
        }
    }

    /// Removes `session` if it is the current connection.
    fn withdraw(&self, session: &Arc<Session>) {
        self.current.send_if_modified(|current| {
            let is_current = current.as_ref().is_some_and(|it| Arc::ptr_eq(it, session));
            if is_current {
                *current = None;
            }
            is_current
        });
    }

    /// Returns whether the next connection fences the earlier ones. It does not as long as attempts run on one of them,
    /// since these may still be answered.
    fn supersedes(&self) -> bool {
        self.lingering.load(Ordering::Relaxed) == 0
    }

    /// Waits for an open connection other than `old`.
    pub(crate) async fn session_after(&self, old: &Arc<Session>) -> Option<Arc<Session>> {
        let mut current = self.current.subscribe();
        let is_other = |session: &Option<Arc<Session>>| {
            session
                .as_ref()
                .is_some_and(|session| !Arc::ptr_eq(session, old))
        };
        let session = current.wait_for(is_other).await.ok()?;
        session.clone()
    }
}

/// The identity that this process presents to target nodes, and its clock.
#[derive(Clone)]
pub(crate) struct Identity {
    pub(crate) vm: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
}

/// Opens a connection of `link` to `address` and maintains it until it ends or `stop` is cancelled.
pub(crate) async fn run(
    link: Arc<Link>,
    address: SocketAddr,
    context: Arc<Context>,
    events: impl LinkEvents,
    stop: CancellationToken,
) {
    let identity = &context.identity;
    let endpoint = link.endpoint(&context.endpoints);
    let generation = link.next_generation();
    let supersedes = link.supersedes();
    let hello = hello_message(&identity.vm, identity.incarnation, generation, supersedes);
    let opened = tokio::select! {
        opened = open(&endpoint, address, hello) => opened,
        () = stop.cancelled() => return,
    };
    match opened {
        Ok(opened) => maintain(&link, opened, identity.clock, &events, &stop).await,
        Err(error) => {
            link.set_needs_dedicated_port(true);
            log::debug!(target: "link", "Cannot open the link to {}: {error}.", link.vm);
            events.on_disconnected(None, DisconnectReason::Closed);
        }
    }
}

/// The reason for which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisconnectReason {
    /// The connection was closed, failed or could not be opened.
    Closed,
    /// The target node sent nothing for [`SILENCE_TIMEOUT_MS`].
    Silent,
    /// This node closed the connection.
    Stopped,
}

impl std::fmt::Display for DisconnectReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Stopped => "stopped",
        })
    }
}

/// Maintains an open connection until it ends. If it has gone silent, this is reported at once, and the connection is kept
/// as long as its attempts may still be answered.
async fn maintain(
    link: &Link,
    opened: OpenedSession,
    clock: Clock,
    events: &impl LinkEvents,
    stop: &CancellationToken,
) {
    let session = Arc::new(opened.session);
    let incarnation = session.incarnation;
    let welcome = opened.welcome;
    link.publish(session.clone());
    events.on_heartbeat(incarnation, welcome.load, welcome.revision);
    let last_received = watch::Sender::new(clock.now_ms());
    let control = async {
        tokio::select! {
            _ = receive(opened.recv, clock, &session, events, &last_received) => {}
            _ = transmit(opened.send, clock, &session, events) => {}
        }
    };
    tokio::pin!(control);
    let reason = tokio::select! {
        () = &mut control => DisconnectReason::Closed,
        () = wait_for_silence(&last_received, clock) => DisconnectReason::Silent,
        () = stop.cancelled() => DisconnectReason::Stopped,
    };
    if reason == DisconnectReason::Silent {
        link.lingering.fetch_add(1, Ordering::Relaxed);
        session.silent.cancel();
    }
    link.withdraw(&session);
    link.set_needs_dedicated_port(reason == DisconnectReason::Silent);
    log::info!(target: "link", "The link to {} ended: {reason}.", link.vm);
    events.on_disconnected(Some(incarnation), reason);
    if reason == DisconnectReason::Silent {
        session.attempts.close();
        tokio::select! {
            () = control => {}
            () = wait_for_replacement(link, &session, &last_received, clock) => {}
            () = session.attempts.wait() => {}
        }
        link.lingering.fetch_sub(1, Ordering::Relaxed);
    }
    session.lose();
    if reason == DisconnectReason::Stopped {
        session.connection.close(0u32.into(), b"");
    } else {
        close_later(session.clone());
    }
}

/// Returns once a silent connection can bring no more replies: a later one has reached another process, or has worked for
/// the silence timeout while `session` remained silent.
async fn wait_for_replacement(
    link: &Link,
    session: &Arc<Session>,
    last_received: &watch::Sender<u64>,
    clock: Clock,
) {
    while let Some(later) = link.session_after(session).await {
        if later.incarnation != session.incarnation {
            return;
        }
        last_received.send_modify(|last_ms| *last_ms = (*last_ms).max(clock.now_ms()));
        wait_for_silence(last_received, clock).await;
        let current = link.session();
        if current.is_some_and(|current| Arc::ptr_eq(&current, &later)) {
            return;
        }
    }
}

/// Closes a lost connection after the time in which its attempts are settled over a new one.
fn close_later(session: Arc<Session>) {
    const CLOSE_DELAY: Duration = Duration::from_secs(5);
    tokio::spawn(async move {
        tokio::time::sleep(CLOSE_DELAY).await;
        session.connection.close(0u32.into(), b"");
    });
}

async fn receive(
    mut recv: RecvStream,
    clock: Clock,
    session: &Session,
    events: &impl LinkEvents,
    last_received: &watch::Sender<u64>,
) -> Result<(), Report<eel_wire::Error>> {
    while let Some(message) = codec::read(&mut recv).await? {
        last_received.send_replace(clock.now_ms());
        if session.silent.is_cancelled() {
            continue;
        }
        let incarnation = session.incarnation;
        match message {
            TargetControl::Pong(pong) => {
                events.on_heartbeat(incarnation, pong.load, pong.revision);
                if pong.leaving {
                    events.on_leaving(incarnation);
                }
            }
            TargetControl::Leaving => events.on_leaving(incarnation),
            TargetControl::Welcome(_) => return Err(Report::new(eel_wire::Error::Malformed)),
        }
    }
    Ok(())
}

async fn transmit(
    mut send: SendStream,
    clock: Clock,
    session: &Session,
    events: &impl LinkEvents,
) -> Result<(), Report<eel_wire::Error>> {
    let mut configuration = events.configuration();
    configuration.mark_changed();
    let mut ticks = tokio::time::interval(PING_INTERVAL);
    let mut sequence = 0;
    loop {
        tokio::select! {
            changed = configuration.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                let newest = configuration.borrow_and_update().clone();
                codec::write(&mut send, &EntryControl::Configure((*newest).clone())).await?;
            }
            _ = ticks.tick() => {
                sequence += 1;
                let ping = Ping {
                    sequence,
                    sent_ms: clock.now_ms(),
                    wants_credits: !session.silent.is_cancelled() && events.wants_credits(),
                };
                codec::write(&mut send, &EntryControl::Ping(ping)).await?;
            }
        }
    }
}

/// Returns once no message has been received for the silence timeout. `last_received` holds the time of the last
/// message.
async fn wait_for_silence(last_received: &watch::Sender<u64>, clock: Clock) {
    loop {
        let last_received_ms = *last_received.borrow();
        let due_ms = last_received_ms + SILENCE_TIMEOUT_MS;
        if clock.now_ms() >= due_ms {
            return;
        }
        tokio::time::sleep_until(clock.instant(due_ms).into()).await;
    }
}
