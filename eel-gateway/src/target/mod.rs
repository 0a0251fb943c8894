//! Connections to targets and single request/response exchanges over them.

mod connection;
mod exchange;
mod pool;

pub(crate) use exchange::{AttemptFailure, BodyFraming, OutgoingRequest, TargetResponse, exchange};
pub(crate) use pool::Pool;
