//! Connections to targets and single request/response exchanges over them.

mod connection;
mod ending;
mod exchange;
mod failure;
mod fair_stream;
mod framing;
mod identity;
mod pool;

pub(crate) use connection::Connection;
pub(crate) use ending::Ending;
pub(crate) use exchange::{OutgoingRequest, ResponseTrace, TargetResponse, exchange};
pub(crate) use failure::AttemptFailure;
pub(crate) use framing::{BodyFraming, continues_stream, has_events};
pub(crate) use pool::Pool;
