//! The key-value service over the JSON mapping that etcd v3 publishes for its gRPC interface.

mod call;
mod client;
mod int64;
mod message;
mod request;
mod response;
mod watch;

pub use client::{EtcdJson, EtcdOptions};
