//! The gateway node: takes callers' requests and batch jobs and sends them straight to their targets.
//!
//! All nodes run the same code. A node with a listener for callers serves requests; a node that runs batch takes the
//! items of jobs. None keeps anything that must last: routes, targets, peers and jobs stand in the platform's store,
//! which each node follows through one watch.

mod batch;
mod context;
mod error;
mod events;
mod http;
mod metrics;
mod node;
mod online;
mod reports;
mod slots;
mod store;
mod target;

pub use error::Error;
pub use node::GatewayNode;
