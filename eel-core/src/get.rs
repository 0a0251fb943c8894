//! `get`: prints records as the store holds them.

use std::fmt;

use eel_record::{Kind, RecordKey};
use eel_store::KeyValue;
use eel_types::Revision;
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use serde_json::Value;
use thiserror::Error as ThisError;

use crate::{Exit, StoredRecords, read_records};

/// Which records to print.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Options {
    /// All records.
    All,
    /// All records of one kind.
    Kind(Kind),
    /// One record.
    Record(RecordKey),
}

/// What to read from.
#[derive(Debug)]
pub struct Context<'a, S> {
    /// The key-value service.
    pub store: &'a S,
    /// The prefix of every key of the fleet.
    pub prefix: &'a str,
}

/// Why nothing was printed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The store cannot be read.
    #[error("cannot read the store")]
    Store,
    /// The store holds no such record.
    #[error("no record {0} exists")]
    Missing(RecordKey),
}

/// One record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Item {
    /// The record.
    pub key: RecordKey,
    /// The revision of the last write to it.
    pub revision: Revision,
    /// What its author wrote; null if it cannot be read.
    pub record: Value,
}

/// The records found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// The store's revision at the read.
    pub revision: Revision,
    /// The records, in order of kind and name.
    pub records: Vec<Item>,
}

impl Outcome {
    /// Returns what the outcome means to a script.
    #[must_use]
    pub fn exit(&self) -> Exit {
        Exit::Success
    }
}

impl fmt::Display for Outcome {
    /// Prints an array of records, which is the content of a record file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let records: Vec<_> = self.records.iter().map(|item| &item.record).collect();
        let text = serde_json::to_string_pretty(&records).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}

/// Reads records from the store.
///
/// # Errors
///
/// Returns an error if the store cannot be read, or the one record asked for does not exist.
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
