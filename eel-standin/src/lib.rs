//! Stand-ins for the platform and the targets, with faults, for tests and the quickstart.

pub mod engine;
pub mod kv;
pub mod serve;
pub mod vm_list;
