//! Batch job processing of an entry node: lease, claims, item dispatch and HTTP API.
//!
//! The state machines are in `eel-batch`. This crate runs them with a clock, the key-value service and the [`Host`],
//! which stands for the rest of the entry node.

mod api;
mod claim;
mod follow;
mod host;
mod lease;
mod metrics;
mod node;
mod options;
mod sweep;
mod work;

pub use api::router;
pub use host::{Host, ItemRequest, ServicePolicy};
pub use metrics::Metrics;
pub use node::JobNode;
pub use options::Options;
