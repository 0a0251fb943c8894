//! A key-value client for the JSON mapping of etcd v3's gRPC interface.

mod call;
mod client;
mod int64;
mod message;
mod request;
mod response;
mod watch;

pub use client::{EtcdJson, EtcdOptions};
