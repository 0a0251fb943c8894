//! Operator records: kinds, schema versions, validation, and the snapshot of records in force on a node.
//!
//! A record is a JSON object, the envelope, with the fields `schema`, `kind`, `name` and `spec`. Each kind has two
//! schema versions, which are upgraded to one current form on reading. Writing a record keeps the JSON that was read,
//! so that fields unknown to this version are preserved.

mod decode;
mod directory;
mod file;
mod job;
mod key;
mod location;
mod problem;
mod record;
mod references;
mod schema;
mod snapshot;
mod snapshot_build;
mod spec;
mod status;
mod validate;

pub use decode::{Decoded, Spec, decode};
pub use directory::{Declaration, Declarations, load_directory};
pub use file::parse_file;
pub use job::{DesiredJobState, JobItems, JobSpec};
pub use key::{Kind, RecordKey};
pub use problem::{Error, Fault, Problem, Severity};
pub use record::{EnvelopeError, NEWEST_SCHEMA, Record};
pub use references::{missing_references, references_of};
pub use snapshot::Snapshot;
pub use snapshot_build::{SnapshotOutcome, StoredRecord};
pub use spec::{CallerSpec, ModelSpec, ModelVersion, Protocol, Route, ServiceSpec};
pub use status::{NodeStatus, TargetStatus};
