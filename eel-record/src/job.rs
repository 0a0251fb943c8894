//! The current form of job records.

use eel_types::Name;
use serde::{Deserialize, Serialize};

/// What the operator wants of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredJobState {
    /// The job runs until every item has a final state.
    #[default]
    Run,
    /// The job stops.
    Cancelled,
}

/// Where a job's items stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobItems {
    /// In the record itself, each as JSON text.
    Inline(Vec<Name>),
    /// In a file with one JSON item a line; the path starts from the directory of the record's file.
    File(Name),
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The caller that the job belongs to and who may read its results.
    pub caller: Name,
    /// The service that runs the items.
    pub service: Name,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// How long the results stay readable after the deadline.
    pub retention_ms: u64,
    /// Whether an item may run more than once.
    pub repeatable: bool,
    /// The items.
    pub items: JobItems,
    /// Whether the job is to run.
    pub state: DesiredJobState,
}
