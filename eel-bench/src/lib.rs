//! Compares the latency and throughput of requests through the nodes with those of direct requests to the target.
//!
//! Loads go to loopback addresses only and release requests for at most [`load::MAX_SECONDS`].

pub mod compare;
pub mod load;
pub mod memory;
pub mod nodes;
pub mod testbed;
