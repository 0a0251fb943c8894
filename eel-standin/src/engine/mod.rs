//! A stand-in for the targets: a model engine with continuous batching, and a plain HTTP service.
//!
//! Executions are counted by the request's tag (the `x-tag` header, else the `idempotency-key` header), so that a test
//! can compare the verdict that a caller got with the executions that took place.

mod counts;
mod fault;
mod response;
mod server;

pub use counts::{ExecutionCounts, Executions};
pub use fault::Fault;
pub use server::{Engine, EngineOptions};
