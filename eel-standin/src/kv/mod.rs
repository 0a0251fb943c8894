//! An in-memory key-value service with etcd v3's JSON interface, which shows faults on demand.

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
