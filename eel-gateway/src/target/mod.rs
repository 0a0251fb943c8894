//! Connections to targets, and one exchange over one of them.

mod connection;
mod exchange;
mod pool;

pub(crate) use exchange::{Answer, Failure, Outgoing, exchange};
pub(crate) use pool::Pool;
