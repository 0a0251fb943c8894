//! Reserves ports for the processes of one run.
//!
//! Another run or an outgoing connection can take a free port before a process binds it or while the process restarts.
//! Ports are therefore taken from a range that the system does not use for outgoing connections, in blocks that are
//! reserved by a listener on their first port.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use rand::RngExt as _;

/// The range of ports, below those that the system assigns to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 32_000;
/// Ports in a block, enough for 249 processes with four listeners each.
const BLOCK_PORTS: u16 = 1_000;

/// A block of ports that is reserved until this is dropped.
pub struct Ports {
    _guard: TcpListener,
    next: u16,
    end: u16,
}

impl Ports {
    /// Reserves a random block that no other run has reserved.
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
