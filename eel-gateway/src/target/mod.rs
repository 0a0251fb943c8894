//! Connections to targets and single request/response exchanges over them.

mod connection;
mod exchange;
mod framing;
mod identity;
mod pool;

pub(crate) use connection::Connection;
pub(crate) use exchange::{AttemptFailure, OutgoingRequest, TargetResponse, exchange};
pub(crate) use framing::{BodyFraming, continues_stream, has_events};
pub(crate) use pool::Pool;
