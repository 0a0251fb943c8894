//! Stand-ins for the platform and the targets, with faults, for tests and the quickstart.

pub mod engine;
pub mod serve;
