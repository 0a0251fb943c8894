//! Schemas of job records.

use eel_types::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Schema;
use crate::{DesiredJobState, JobItems, JobSpec};

const MS_PER_S: u64 = 1_000;
const DEFAULT_RETENTION_S: u64 = 7 * 24 * 60 * 60;

/// Schema 1: times in seconds, items always in a file.
#[derive(Serialize, Deserialize)]
pub struct JobV1 {
    caller: Name,
    service: Name,
    deadline_unix_s: u64,
    #[serde(default = "retention_s")]
    retention_s: u64,
    #[serde(default)]
    repeatable: bool,
    items_file: Name,
    #[serde(default)]
    state: DesiredJobState,
}

/// Schema 2: times in milliseconds, items in a file or inline in the record.
#[derive(Serialize, Deserialize)]
pub struct JobV2 {
    caller: Name,
    service: Name,
    deadline_unix_ms: u64,
    #[serde(default = "retention_ms")]
    retention_ms: u64,
    #[serde(default)]
    repeatable: bool,
    #[serde(default)]
    items_file: Option<Name>,
    #[serde(default)]
    items: Vec<Value>,
    #[serde(default)]
    state: DesiredJobState,
}

impl Schema for JobV1 {
    type Current = JobSpec;

    fn upgrade(self) -> JobSpec {
        JobSpec {
            caller: self.caller,
            service: self.service,
            deadline_unix_ms: self.deadline_unix_s.saturating_mul(MS_PER_S),
            retention_ms: self.retention_s.saturating_mul(MS_PER_S),
            repeatable: self.repeatable,
            items: JobItems::File(self.items_file),
            state: self.state,
        }
    }

    fn source_path(field: &str) -> String {
        match field {
            "deadline_unix_ms" => "deadline_unix_s".to_owned(),
            "retention_ms" => "retention_s".to_owned(),
            _ => field.to_owned(),
        }
    }
}

impl Schema for JobV2 {
    type Current = JobSpec;

    fn upgrade(self) -> JobSpec {
        let inline = self.items.iter().map(|item| item.to_string().into());
        JobSpec {
            caller: self.caller,
            service: self.service,
            deadline_unix_ms: self.deadline_unix_ms,
            retention_ms: self.retention_ms,
            repeatable: self.repeatable,
            items: match self.items_file {
                Some(file) => JobItems::File(file),
                None => JobItems::Inline(inline.collect()),
            },
            state: self.state,
        }
    }

    fn source_path(field: &str) -> String {
        field.to_owned()
    }
}

fn retention_s() -> u64 {
    DEFAULT_RETENTION_S
}

fn retention_ms() -> u64 {
    DEFAULT_RETENTION_S * MS_PER_S
}
