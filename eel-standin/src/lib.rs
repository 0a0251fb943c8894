//! Stand-ins for the platform's services and the targets, for tests and the quickstart.
//!
//! Each server listens on a loopback port inside this process and can be told to fail in a given way.

pub mod engine;
pub mod kv;
pub mod serve;
pub mod vm_list;
