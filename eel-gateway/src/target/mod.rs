//! Connections to targets and single request/response exchanges over them.

mod connection;
mod exchange;
mod pool;

pub(crate) use exchange::{Answer, Failure, Outgoing, exchange};
pub(crate) use pool::Pool;
