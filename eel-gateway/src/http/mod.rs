//! HTTP listeners for callers and for the load balancer's readiness checks.

mod body;
mod budget;
mod caller;
mod connections;
mod handler;
mod log_limit;
mod memory;
mod readiness;
mod received;
mod response;
mod server;

pub(crate) use caller::{is_revoked, until_revoked};
pub(crate) use connections::Connections;
pub(crate) use log_limit::LogLimit;
pub(crate) use memory::Memory;
pub(crate) use readiness::serve_readiness;
pub(crate) use response::{Body, TruncatedResponse, empty, full, refuse, streamed};
pub(crate) use server::serve_callers;
