//! The target node: the only path to the target beside it.
//!
//! Every request to the target passes the [`Admission`](eel_admit::Admission) state machine of this process, so slots,
//! priorities and cancellation are decided in one place without any coordination service.

mod admission;
mod config;
mod engine;
mod error;
mod link;
mod metrics;
mod node;
mod serve;

pub use error::Error;
pub use node::{Context, TargetNode};
