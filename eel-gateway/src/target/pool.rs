//! Idle connections to targets.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::connection::Connection;

/// How long a connection is reused if the target does not say how long it keeps it: below a second, since targets
/// state whole seconds.
const UNSTATED_LIFE: Duration = Duration::from_millis(400);
/// How much sooner than the target a connection is given up.
const LIFE_MARGIN: Duration = Duration::from_millis(600);
/// The most idle connections that are kept to one target.
const MAX_IDLE: usize = 16;

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections to targets, the one used last first.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes a connection that can be used again.
    pub fn take(&self, now: Instant, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(it) = connections.pop() {
            if now < it.until
                && it.connection.sender.is_ready()
                && !it.connection.sender.is_closed()
            {
                return Some(it.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read as a whole.
    pub fn put(
        &self,
        now: Instant,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let life = keep_alive.map_or(UNSTATED_LIFE, |stated| stated.saturating_sub(LIFE_MARGIN));
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle {
                connection,
                until: now + life,
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        self.lock().retain(|_, connections| {
            connections.retain(|it| now < it.until && !it.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
