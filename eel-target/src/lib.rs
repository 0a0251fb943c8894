//! The target node: admits requests from entry nodes and forwards them to the target on the same machine.
//!
//! All requests to the target pass through this process. Its [`Admission`](eel_admit::Admission) state machine
//! therefore decides on slots, priorities and cancellation in one place, without a coordination service.

mod admission;
mod config;
mod engine;
mod error;
mod link;
mod metrics;
mod node;
mod serve;
mod survival;

pub use error::Error;
pub use node::{Context, TargetNode};
