//! Reads records from the store.

use std::collections::BTreeMap;

use eel_record::{Record, RecordKey};
use eel_store::{KeyValue, KeyValuePair, RangeRequest, StoreResult};
use eel_types::Revision;
use serde_json::Value;

const PAGE_SIZE: u32 = 500;

/// A record as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredEntry {
    /// The revision of the last write to the record.
    pub revision: Revision,
    /// The record; `None` if its envelope is invalid.
    pub record: Option<Record>,
}

impl StoredEntry {
    /// Returns the record without metadata, as its author wrote it; null if its envelope is invalid.
    #[must_use]
    pub fn content(&self) -> Value {
        self.record.as_ref().map_or(Value::Null, Record::content)
    }
}

/// All records in the store at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRecords {
    /// The store revision that was read.
    pub revision: Revision,
    /// The records by kind and name.
    pub records: BTreeMap<RecordKey, StoredEntry>,
}

/// Returns the prefix of the store keys of a fleet's records.
#[must_use]
pub fn config_prefix(prefix: &str) -> String {
    format!("{prefix}/config/")
}

/// Reads all records of the fleet with this key `prefix`, page by page at one revision.
///
/// # Errors
///
/// Returns the error of the store if a read fails.
pub async fn read_records<S: KeyValue>(store: &S, prefix: &str) -> StoreResult<StoredRecords> {
    let config = config_prefix(prefix);
    let mut found = StoredRecords::default();
    let mut request = RangeRequest {
        limit: PAGE_SIZE,
        ..RangeRequest::prefix(config.as_str())
    };
    loop {
        let page = store.range(&request).await?;
        let revision = *request.revision.get_or_insert(page.revision);
        found.revision = revision;
        request.after = page.kvs.last().map(|pair| pair.key.clone());
        let entries = page
            .kvs
            .iter()
            .filter_map(|pair| parse_entry(&config, pair));
        found.records.extend(entries);
        if !page.more {
            return Ok(found);
        }
    }
}

/// Parses a key-value pair; returns `None` if its key is not that of a record kind that this version supports.
fn parse_entry(config: &str, pair: &KeyValuePair) -> Option<(RecordKey, StoredEntry)> {
    let key: RecordKey = pair.key.strip_prefix(config)?.parse().ok()?;
    let entry = StoredEntry {
        revision: pair.mod_revision,
        record: Record::from_slice(&pair.value).ok(),
    };
    Some((key, entry))
}
