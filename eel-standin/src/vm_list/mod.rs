//! A VM list that a test fills, and that can be stale, empty, malformed or unavailable.

mod server;

pub use server::{ListFault, ListedVm, VmListServer};
