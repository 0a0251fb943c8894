//! HTTP listeners for callers and for the load balancer's readiness checks.

mod body;
mod caller;
mod handler;
mod readiness;
mod response;
mod server;

pub(crate) use body::{BodyError, read_body};
pub(crate) use caller::{is_revoked, until_revoked};
pub(crate) use readiness::serve_readiness;
pub(crate) use response::{Body, TruncatedResponse, empty, full, refuse, streamed};
pub(crate) use server::serve_callers;
