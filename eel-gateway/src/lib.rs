//! The gateway node: accepts online requests and batch jobs from callers and sends them directly to targets.
//!
//! All nodes run the same code. A node with a listener for callers serves requests; a node with batch enabled runs the
//! items of jobs. Nodes hold no durable state: routes, targets, peers and jobs are kept in the platform's store, which
//! each node follows through one watch.

mod batch;
mod caller_limits;
mod context;
mod error;
mod http;
mod limits;
mod metrics;
mod node;
mod online;
mod origins;
mod quarantine;
mod quotas;
mod reports;
mod slots;
mod store;
mod target;

pub use error::Error;
pub use node::GatewayNode;
