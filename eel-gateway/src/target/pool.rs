//! A pool of idle connections to targets.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::connection::Connection;

/// How long an idle connection is reused if the target's response states no keep-alive timeout: less than one second,
/// the shortest timeout that a target can state.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long before the target's keep-alive timeout an idle connection is no longer reused.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// The maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 16;

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by target address; the most recently used one is reused first.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes a connection that can be reused.
    pub fn take(&self, now: Instant, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(it) = connections.pop() {
            if now < it.expires_at
                && it.connection.sender.is_ready()
                && !it.connection.sender.is_closed()
            {
                return Some(it.connection);
            }
        }
        None
    }

    /// Returns a connection whose last response was read to its end; closes it if the target has enough idle ones.
    pub fn put(
        &self,
        now: Instant,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let life = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |stated| {
            stated.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection {
                connection,
                expires_at: now + life,
            });
        }
    }

    /// Closes the expired idle connections.
    pub fn sweep(&self, now: Instant) {
        self.lock().retain(|_, connections| {
            connections.retain(|it| now < it.expires_at && !it.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
