//! The batch part of an entry node: lease, claims, item dispatch and the callers' interface.
//!
//! The decisions stand in `eel-batch`; this crate gives them a clock, the key-value service and the
//! [`Host`], the rest of the entry node.

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
