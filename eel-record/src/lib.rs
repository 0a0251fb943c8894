//! Operator records: kinds, schema versions, validation and the snapshot that nodes act on.

mod snapshot;
mod spec;

pub use snapshot::Snapshot;
pub use spec::{CallerSpec, ModelSpec, ModelVersion, Protocol, Route, ServiceSpec};
