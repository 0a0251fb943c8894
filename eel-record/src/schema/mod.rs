//! The schema versions of each kind, each with its upgrade to the current form.
//!
//! The forms here are what records look like on paper; nothing else in the system sees them.

mod caller;
mod job;
mod model;
mod service;

pub use caller::{CallerV1, CallerV2};
pub use job::{JobV1, JobV2};
pub use model::{ModelV1, ModelV2};
pub use service::{ServiceV1, ServiceV2};

/// One schema version of one kind.
pub trait Schema: serde::Serialize + serde::de::DeserializeOwned {
    /// The current form of the kind.
    type Current;

    /// Upgrades to the current form; total, so that every version that could be read can be acted on.
    fn upgrade(self) -> Self::Current;

    /// Returns the path in this schema of a field of the current form.
    fn source_path(field: &str) -> String;
}
