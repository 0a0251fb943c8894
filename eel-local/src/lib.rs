//! Runs a small fleet on loopback addresses, its nodes and the stand-ins of the platform in one process.

mod files;
mod nodes;
pub mod quickstart;

pub use files::{FileError, FleetFiles, free_tcp_address, free_udp_address};
pub use nodes::{NodeError, Nodes, WORKER_THREADS, wait_ready};
