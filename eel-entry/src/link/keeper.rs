//! Keeps one link to a target node: opens it, watches its progress, and opens a fresh one when it is silent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eel_types::{Clock, Incarnation, LoadReport, Name, Revision};
use eel_wire::{
    codec,
    message::{Configuration, EntryControl, Ping, TargetControl, Welcome},
};
use error_stack::Report;
use quinn::{Endpoint, RecvStream, SendStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::session::{Opened, Session, hello, open};

/// The time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A link that has answered no ping for this long is silent.
const SILENCE_TIMEOUT_MS: u64 = 1_500;
/// The pause before the first attempt to open a link anew; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What a link reports to the rest of the process.
pub(crate) trait LinkEvents: Send + Sync + 'static {
    /// The link is open.
    fn on_open(&self, welcome: &Welcome);
    /// The target node has answered a ping.
    fn on_alive(&self, load: LoadReport, revision: Revision);
    /// The target node says that it takes no new work.
    fn on_leaving(&self);
    /// The link has closed or gone silent.
    fn on_lost(&self);
    /// Whether there are batch items for this target.
    fn wants_credits(&self) -> bool;
    /// The configuration to keep the target node on.
    fn configuration(&self) -> watch::Receiver<Arc<Configuration>>;
}

/// The link to one target node, through all its connections.
pub(crate) struct Link {
    pub(crate) vm: Name,
    pub(crate) address: SocketAddr,
    current: watch::Sender<Option<Arc<Session>>>,
}

impl Link {
    pub(crate) fn new(vm: Name, address: SocketAddr) -> Self {
        Self {
            vm,
            address,
            current: watch::Sender::new(None),
        }
    }

    /// Returns the open connection, if there is one.
    pub(crate) fn session(&self) -> Option<Arc<Session>> {
        self.current.borrow().clone()
    }

    /// Waits for a connection other than `old`.
    pub(crate) async fn session_after(&self, old: &Arc<Session>) -> Option<Arc<Session>> {
        let mut current = self.current.subscribe();
        let fresh = |session: &Option<Arc<Session>>| {
            session
                .as_ref()
                .is_some_and(|session| !Arc::ptr_eq(session, old))
        };
        let session = current.wait_for(fresh).await.ok()?;
        session.clone()
    }
}

/// Who this process is towards target nodes.
#[derive(Clone)]
pub(crate) struct Identity {
    pub(crate) vm: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
}

/// Keeps `link` open until `stop` is cancelled.
pub(crate) async fn run(
    link: Arc<Link>,
    endpoint: Endpoint,
    identity: Identity,
    events: impl LinkEvents,
    stop: CancellationToken,
) {
    let mut generation = 0;
    let mut pause = FIRST_PAUSE;
    loop {
        generation += 1;
        let hello = hello(&identity.vm, identity.incarnation, generation);
        let opened = tokio::select! {
            opened = open(&endpoint, link.address, hello) => opened,
            () = stop.cancelled() => return,
        };
        match opened {
            Ok(opened) => {
                pause = FIRST_PAUSE;
                let keep = keep(&link, opened, identity.clock, &events, &stop);
                let reason = keep.await;
                log::info!(target: "link", "The link to {} ended: {reason}.", link.vm);
            }
            Err(error) => {
                log::debug!(target: "link", "The link to {} cannot be opened: {error}.", link.vm);
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = stop.cancelled() => return,
        }
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Why a connection is kept no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Closed,
    Silent,
    Stopped,
}

impl std::fmt::Display for Loss {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Stopped => "stopped",
        })
    }
}

async fn keep(
    link: &Link,
    opened: Opened,
    clock: Clock,
    events: &impl LinkEvents,
    stop: &CancellationToken,
) -> Loss {
    let session = Arc::new(opened.session);
    events.on_open(&opened.welcome);
    link.current.send_replace(Some(session.clone()));
    let heard = watch::Sender::new(clock.now_ms());
    let loss = tokio::select! {
        _ = receive(opened.recv, clock, events, &heard) => Loss::Closed,
        _ = transmit(opened.send, clock, events) => Loss::Closed,
        () = silence(&heard, clock) => Loss::Silent,
        () = stop.cancelled() => Loss::Stopped,
    };
    link.current.send_replace(None);
    session.lost.cancel();
    events.on_lost();
    if loss == Loss::Stopped {
        session.connection.close(0u32.into(), b"");
    } else {
        close_later(session);
    }
    loss
}

/// Closes a lost connection once its attempts have been settled over a fresh one.
fn close_later(session: Arc<Session>) {
    const SETTLE_TIME: Duration = Duration::from_secs(5);
    tokio::spawn(async move {
        tokio::time::sleep(SETTLE_TIME).await;
        session.connection.close(0u32.into(), b"");
    });
}

async fn receive(
    mut recv: RecvStream,
    clock: Clock,
    events: &impl LinkEvents,
    heard: &watch::Sender<u64>,
) -> Result<(), Report<eel_wire::Error>> {
    while let Some(message) = codec::read(&mut recv).await? {
        heard.send_replace(clock.now_ms());
        match message {
            TargetControl::Pong(pong) => {
                events.on_alive(pong.load, pong.revision);
                if pong.leaving {
                    events.on_leaving();
                }
            }
            TargetControl::Leaving => events.on_leaving(),
            TargetControl::Welcome(_) => return Err(Report::new(eel_wire::Error::Malformed)),
        }
    }
    Ok(())
}

async fn transmit(
    mut send: SendStream,
    clock: Clock,
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
                    wants_credits: events.wants_credits(),
                };
                codec::write(&mut send, &EntryControl::Ping(ping)).await?;
            }
        }
    }
}

/// Returns once nothing has been heard for the silence timeout.
async fn silence(heard: &watch::Sender<u64>, clock: Clock) {
    loop {
        let heard_ms = *heard.borrow();
        let due_ms = heard_ms + SILENCE_TIMEOUT_MS;
        if clock.now_ms() >= due_ms {
            return;
        }
        tokio::time::sleep_until(clock.instant(due_ms).into()).await;
    }
}
