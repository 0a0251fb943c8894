//! The entry node: accepts HTTP requests, routes them to target nodes over QUIC, and runs batch jobs from the store.

mod admin;
mod authenticate;
mod batch;
mod config;
mod error;
mod idempotency;
mod link;
mod membership;
mod metrics;
mod node;
mod peers;
mod routing;
mod serve;
mod tasks;

pub use error::Error;
pub use node::{Context, EntryNode};
