//! The records that the store holds.

use std::collections::BTreeMap;

use eel_record::{Record, RecordKey};
use eel_store::{KeyValue, KeyValuePair, RangeRequest, StoreResult};
use eel_types::Revision;
use serde_json::Value;

const PAGE_SIZE: u32 = 500;

/// A record as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredEntry {
    /// The revision of the last write to it.
    pub revision: Revision,
    /// The record; `None` if its envelope cannot be read.
    pub record: Option<Record>,
}

impl StoredEntry {
    /// Returns what the record's author wrote; null if it cannot be read.
    #[must_use]
    pub fn content(&self) -> Value {
        self.record.as_ref().map_or(Value::Null, Record::content)
    }
}

/// Every record of the store at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRecords {
    /// The store's revision at the read.
    pub revision: Revision,
    /// The records by kind and name.
    pub records: BTreeMap<RecordKey, StoredEntry>,
}

/// Returns the prefix of record keys in a fleet's part of the store.
#[must_use]
pub fn config_prefix(prefix: &str) -> String {
    format!("{prefix}/config/")
}

/// Reads every record under a fleet's `prefix`, all at one revision.
///
/// # Errors
///
/// Returns the store's error if a read fails.
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

/// Reads one pair; `None` if its key is none of a record that this version knows.
fn parse_entry(config: &str, pair: &KeyValuePair) -> Option<(RecordKey, StoredEntry)> {
    let key: RecordKey = pair.key.strip_prefix(config)?.parse().ok()?;
    let entry = StoredEntry {
        revision: pair.mod_revision,
        record: Record::from_slice(&pair.value).ok(),
    };
    Some((key, entry))
}
