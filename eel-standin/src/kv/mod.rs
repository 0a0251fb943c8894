//! A key-value service in memory that speaks etcd v3's JSON mapping, with faults on demand.

mod api;
mod fault;
mod lease;
mod message;
mod mvcc;
mod server;
mod shared;
mod txn;
mod watcher;

pub use fault::{CallCounts, Faults};
pub use server::KvServer;
