//! Ports for the processes of one run.
//!
//! A port that is free now may be taken by another run, or by any outgoing connection, before a process binds it or while
//! it restarts. So ports come from a range that outgoing connections do not use, in blocks that a listener guards.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use rand::RngExt as _;

/// The ports below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 32_000;
/// Enough for a few hundred processes with four listeners each.
const BLOCK_PORTS: u16 = 1_000;

/// A block of ports that no other run takes.
pub struct Ports {
    _guard: TcpListener,
    next: u16,
    end: u16,
}

impl Ports {
    /// Reserves a block.
    pub fn reserve() -> Self {
        loop {
            let blocks = (LAST_PORT - FIRST_PORT) / BLOCK_PORTS;
            let first = FIRST_PORT + rand::rng().random_range(0..blocks) * BLOCK_PORTS;
            if let Ok(guard) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return Self {
                    _guard: guard,
                    next: first,
                    end: first + BLOCK_PORTS,
                };
            }
        }
    }

    /// Returns the next address of the block.
    pub fn next(&mut self) -> SocketAddr {
        self.next += 1;
        assert!(self.next < self.end, "the block has {BLOCK_PORTS} ports");
        (Ipv4Addr::LOCALHOST, self.next).into()
    }
}
