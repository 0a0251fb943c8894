//! Measures the path from an entry node to a target against the target alone.
//!
//! Loads go to loopback addresses only and stop by themselves.

pub mod compare;
pub mod load;
pub mod memory;
pub mod nodes;
pub mod testbed;
