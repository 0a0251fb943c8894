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
    /// Takes a connection that can be reused for the request `request_id`.
    pub fn take(&self, now: Instant, address: SocketAddr, request_id: &str) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|it| {
            let sender = &it.connection.sender;
            now < it.expires_at && sender.is_ready() && !sender.is_closed()
        });
        let index = connections
            .iter()
            .rposition(|it| it.connection.may_send(request_id))?;
        Some(connections.remove(index).connection)
    }

    /// Returns a connection whose last response was read to its end; closes it if the target has enough idle ones.
    pub fn put(
        &self,
        now: Instant,
        address: SocketAddr,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        if !connection.may_be_kept() {
            return;
        }
        connection.is_kept = true;
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
