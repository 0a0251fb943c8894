//! A stand-in for the targets: a model engine with continuous batching, and a plain HTTP service.
//!
//! Every execution is counted by the request's tag (the `x-tag` header), so that a test can hold a verdict against what
//! really ran.

mod counts;
mod fault;
mod response;
mod server;

pub use counts::{ExecutionCounts, Executions};
pub use fault::Fault;
pub use server::{Engine, EngineOptions};
