//! The schema versions of each record kind, and their upgrade to the kind's current form.
//!
//! These types define the JSON format of records. The rest of the system only uses the current forms.

mod caller;
mod job;
mod model;
mod service;

pub use caller::{CallerV1, CallerV2};
pub use job::{JobV1, JobV2};
pub use model::{ModelV1, ModelV2};
pub use service::{ServiceV1, ServiceV2};

/// A schema version of a record kind.
pub trait Schema: serde::Serialize + serde::de::DeserializeOwned {
    /// The current form of the record kind.
    type Current;

    /// Upgrades to the current form. It cannot fail, so every record that parses can be put in force once it is valid.
    fn upgrade(self) -> Self::Current;

    /// Maps the path of a field in the current form to its path in this schema.
    fn source_path(field: &str) -> String;
}
