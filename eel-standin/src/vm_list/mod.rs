//! A VM list that a test fills, and that can be stale, empty, wrong or gone.

mod server;

pub use server::{ListFault, ListedVm, VmListServer};
