//! `get`: reads records from the store.

use std::fmt;

use eel_record::{Kind, RecordKey};
use eel_store::KeyValue;
use eel_types::Revision;
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use serde_json::Value;
use thiserror::Error as ThisError;

use crate::{Exit, StoredRecords, read_records};

/// The records to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Options {
    /// All records of the fleet.
    All,
    /// All records of one kind.
    Kind(Kind),
    /// A single record.
    Record(RecordKey),
}

/// The store to read from.
#[derive(Debug)]
pub struct Context<'a, S> {
    /// The client of the key-value service.
    pub store: &'a S,
    /// The prefix of all keys of the fleet.
    pub prefix: &'a str,
}

/// Reasons why the records cannot be read.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The records in the store cannot be read.
    #[error("cannot read the store")]
    Store,
    /// The store does not hold the requested record.
    #[error("no record {0} exists")]
    Missing(RecordKey),
}

/// One record with its revision.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Item {
    /// The kind and name of the record.
    pub key: RecordKey,
    /// The revision of the last write to the record.
    pub revision: Revision,
    /// The record without metadata, as its author wrote it; null if its envelope is invalid.
    pub record: Value,
}

/// The selected records at one revision of the store.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// The store revision that was read.
    pub revision: Revision,
    /// The records, in order of kind and name.
    pub records: Vec<Item>,
}

impl Outcome {
    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        Exit::Success
    }
}

impl fmt::Display for Outcome {
    /// Prints the records as a JSON array, which is a valid record file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let records: Vec<_> = self.records.iter().map(|item| &item.record).collect();
        let text = serde_json::to_string_pretty(&records).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}

/// Reads the selected records from the store.
///
/// # Errors
///
/// Returns an error if the store cannot be read, or [`Options::Record`] names a record that does not exist.
pub async fn get<S: KeyValue>(
    options: &Options,
    context: &Context<'_, S>,
) -> Result<Outcome, Report<Error>> {
    let stored = read_records(context.store, context.prefix)
        .await
        .change_context(Error::Store)?;
    let outcome = select(options, &stored);
    match options {
        Options::Record(key) if outcome.records.is_empty() => {
            Err(Report::new(Error::Missing(key.clone())))
        }
        Options::All | Options::Kind(_) | Options::Record(_) => Ok(outcome),
    }
}

fn select(options: &Options, stored: &StoredRecords) -> Outcome {
    let is_selected = |key: &RecordKey| match options {
        Options::All => true,
        Options::Kind(kind) => key.kind == *kind,
        Options::Record(wanted) => key == wanted,
    };
    let selected = stored.records.iter().filter(|(key, _)| is_selected(key));
    let records = selected.map(|(key, entry)| Item {
        key: key.clone(),
        revision: entry.revision,
        record: entry.content(),
    });
    Outcome {
        revision: stored.revision,
        records: records.collect(),
    }
}
