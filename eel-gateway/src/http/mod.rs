//! HTTP listeners for callers and for the load balancer's readiness checks.

mod answer;
mod body;
mod handler;
mod readiness;
mod server;

pub(crate) use answer::{Body, BrokenAnswer, empty, full, refuse, streamed};
pub(crate) use body::{BodyError, read_body};
pub(crate) use readiness::serve_readiness;
pub(crate) use server::serve_callers;
