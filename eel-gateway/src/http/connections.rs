//! Limits the open connections of a listener and decides which ones are closed for new ones.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eel_types::Clock;
use slotmap::{SlotMap, new_key_type};
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

/// How long a connection must have been idle before it may be closed for another one, in ms: a request that was sent to it
/// meanwhile is lost.
const IDLE_MS: u64 = 250;
/// How long the body of a request may have been arriving before its connection may be closed for another one, in ms.
const BODY_MS: u64 = 1_000;
/// The part of the limit that is closed at once, so that the search for them is not repeated for each new connection.
const CLOSED_PART: usize = 16;
/// How long to wait for a connection to end before looking again for one to close.
const RECHECK: Duration = Duration::from_millis(50);

new_key_type! {
    struct ConnectionKey;
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has sent no complete head.
    New,
    /// It waits for the next request, or its caller has not read the whole response.
    Idle,
    /// The body of a request is arriving.
    Body,
    /// A request is running.
    Busy,
}

const PHASES: [Phase; 4] = [Phase::New, Phase::Idle, Phase::Body, Phase::Busy];

/// The phase of a connection and when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// What the connection is used for.
    pub phase: Phase,
    /// When the phase began, in ms.
    pub since_ms: u64,
}

impl Standing {
    /// Returns whether the connection may be closed for another one.
    pub fn may_close(self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.since_ms);
        match self.phase {
            Phase::New | Phase::Idle => elapsed_ms >= IDLE_MS,
            Phase::Body => elapsed_ms >= BODY_MS,
            Phase::Busy => false,
        }
    }
}

/// The open connections of a listener.
pub struct Connections {
    limit: usize,
    clock: Clock,
    open: Mutex<SlotMap<ConnectionKey, Arc<Open>>>,
    ended: Notify,
}

struct Open {
    /// The phase in the lowest two bits, and above them when it began, in ms.
    standing: AtomicU64,
    closing: CancellationToken,
}

/// An open connection; it no longer counts when this is dropped.
pub struct Connection {
    connections: Arc<Connections>,
    key: ConnectionKey,
    open: Arc<Open>,
}

impl Connections {
    /// Creates the connections of a listener that has at most `limit` and one that is accepted while others are closed.
    pub fn new(limit: usize, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            limit,
            clock,
            open: Mutex::default(),
            ended: Notify::new(),
        })
    }

    /// Adds a connection that was accepted.
    pub fn add(self: &Arc<Self>) -> Connection {
        let open = Arc::new(Open {
            standing: AtomicU64::new(encode(Phase::New, self.clock.now_ms())),
            closing: CancellationToken::new(),
        });
        let key = self.open().insert(open.clone());
        Connection {
            connections: self.clone(),
            key,
            open,
        }
    }

    /// Waits until there are no more connections than the limit, and closes those that may be. Calls `on_closed` with their
    /// number.
    pub async fn make_room(&self, mut on_closed: impl FnMut(usize)) {
        while self.len() > self.limit {
            let ended = self.ended.notified();
            let closed = self.close_some(self.clock.now_ms());
            if closed > 0 {
                on_closed(closed);
            }
            let _ = timeout(RECHECK, ended).await;
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open().len()
    }

    fn close_some(&self, now_ms: u64) -> usize {
        let open = self.open();
        let is_closing = |it: &&Arc<Open>| it.closing.is_cancelled();
        if open.len() - open.values().filter(is_closing).count() <= self.limit {
            return 0;
        }
        let mut candidates: Vec<_> = open
            .values()
            .filter(|it| !it.closing.is_cancelled())
            .map(|it| (decode(it.standing.load(Ordering::Relaxed)), it))
            .filter(|(standing, _)| standing.may_close(now_ms))
            .collect();
        candidates.sort_unstable_by_key(|(standing, _)| (standing.phase, standing.since_ms));
        let count = (self.limit / CLOSED_PART).max(1).min(candidates.len());
        for (_, victim) in &candidates[..count] {
            victim.closing.cancel();
        }
        count
    }

    fn open(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<Open>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Records what the connection is used for from now on.
    pub fn set_phase(&self, phase: Phase) {
        let now_ms = self.connections.clock.now_ms();
        self.open
            .standing
            .store(encode(phase, now_ms), Ordering::Relaxed);
    }

    /// Returns the token that is cancelled when the connection is to be closed at once.
    pub fn closing(&self) -> &CancellationToken {
        &self.open.closing
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.open().remove(self.key);
        self.connections.ended.notify_one();
    }
}

fn encode(phase: Phase, since_ms: u64) -> u64 {
    since_ms << 2 | phase as u64
}

fn decode(standing: u64) -> Standing {
    let index = usize::try_from(standing & 3).unwrap_or(0);
    Standing {
        phase: PHASES[index],
        since_ms: standing >> 2,
    }
}
