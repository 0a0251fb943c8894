//! The current form of job records.

use eel_types::Name;
use serde::{Deserialize, Serialize};

/// The state of a job that the operator declares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredJobState {
    /// The job runs until every item has ended.
    #[default]
    Run,
    /// The job is cancelled.
    Cancelled,
}

/// The source of a job's items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobItems {
    /// Items in the record itself, each as JSON text.
    Inline(Vec<Name>),
    /// The path of a file with one JSON item per line, relative to the directory of the record file.
    File(Name),
}

/// The current form of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The caller that owns the job and may read its results.
    pub caller: Name,
    /// The service that runs the items.
    pub service: Name,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// The time after the deadline for which the results stay readable.
    pub retention_ms: u64,
    /// Whether an item may run more than once.
    pub repeatable: bool,
    /// The items, inline or in a file.
    pub items: JobItems,
    /// Whether the job should run or is cancelled.
    pub state: DesiredJobState,
}
