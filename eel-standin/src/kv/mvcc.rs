//! Multi-version storage of the keys.

use std::{collections::BTreeMap, ops::Bound};

use bytes::Bytes;

use super::message::{Base64, Event, EventType, Int64, Kv};

/// One version of a key; a tombstone has no value.
#[derive(Clone, Debug)]
struct KeyVersion {
    mod_revision: u64,
    create_revision: u64,
    version: u64,
    value: Option<Bytes>,
    lease: i64,
}

/// An interval of keys.
#[derive(Clone, Debug)]
pub struct KeyRange {
    start: Bytes,
    end: Bound<Bytes>,
}

impl KeyRange {
    /// Converts etcd's pair of key and range end.
    ///
    /// An empty end selects the key alone, a zero byte as the end everything from the key on, and a zero byte as the
    /// key starts at the first key.
    pub fn new(start: &Base64, end: &Base64) -> Self {
        let end = match end.0.as_ref() {
            [] => Bound::Included(start.0.clone()),
            [0] => Bound::Unbounded,
            _ => Bound::Excluded(end.0.clone()),
        };
        let start = match start.0.as_ref() {
            [0] => Bytes::new(),
            _ => start.0.clone(),
        };
        Self { start, end }
    }

    pub fn contains(&self, key: &Bytes) -> bool {
        let ends_after = match &self.end {
            Bound::Included(end) => key <= end,
            Bound::Excluded(end) => key < end,
            Bound::Unbounded => true,
        };
        *key >= self.start && ends_after
    }

    fn is_empty(&self) -> bool {
        matches!(&self.end, Bound::Excluded(end) if *end <= self.start)
    }
}

/// All keys with their versions, the current revision and the compacted revision.
#[derive(Debug)]
pub struct Mvcc {
    pub revision: u64,
    pub compacted: u64,
    keys: BTreeMap<Bytes, Vec<KeyVersion>>,
}

impl Mvcc {
    pub fn new() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
        }
    }

    /// Returns the key-value pairs of `range` at `revision`.
    pub fn read(&self, range: &KeyRange, revision: u64) -> Vec<Kv> {
        if range.is_empty() {
            return Vec::new();
        }
        let bounds = (Bound::Included(&range.start), range.end.as_ref());
        self.keys
            .range::<Bytes, _>(bounds)
            .filter_map(|(key, versions)| {
                let version = versions.iter().rev().find(|v| v.mod_revision <= revision)?;
                let value = version.value.clone()?;
                Some(pair(key, version, value))
            })
            .collect()
    }

    pub fn current(&self, key: &Bytes) -> Option<Kv> {
        let version = self.keys.get(key)?.last()?;
        Some(pair(key, version, version.value.clone()?))
    }

    /// Writes `key` at `revision`, without advancing the current revision.
    pub fn put(&mut self, key: &Bytes, value: Bytes, lease: i64, revision: u64) -> Event {
        let versions = self.keys.entry(key.clone()).or_default();
        let before = versions.last().filter(|v| v.value.is_some());
        let version = KeyVersion {
            mod_revision: revision,
            create_revision: before.map_or(revision, |v| v.create_revision),
            version: before.map_or(1, |v| v.version + 1),
            value: Some(value.clone()),
            lease,
        };
        let kv = pair(key, &version, value);
        versions.push(version);
        Event { r#type: None, kv }
    }

    /// Deletes the keys of `range` at `revision`, without advancing the current revision.
    pub fn delete(&mut self, range: &KeyRange, revision: u64) -> Vec<Event> {
        let found = self.read(range, u64::MAX);
        for kv in &found {
            let tombstone = KeyVersion {
                mod_revision: revision,
                create_revision: 0,
                version: 0,
                value: None,
                lease: 0,
            };
            self.keys
                .entry(kv.key.0.clone())
                .or_default()
                .push(tombstone);
        }
        found
            .into_iter()
            .map(|kv| deletion(&kv.key.0, revision))
            .collect()
    }

    /// Returns the changes of `range` from revision `start` on, by revision.
    pub fn changes(&self, range: &KeyRange, start: u64) -> BTreeMap<u64, Vec<Event>> {
        let mut changes: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
        for (key, versions) in &self.keys {
            for version in versions.iter().filter(|v| v.mod_revision >= start) {
                if range.contains(key) {
                    let event = event(key, version);
                    changes.entry(version.mod_revision).or_default().push(event);
                }
            }
        }
        changes
    }

    /// Drops the versions superseded at or before `revision`, and the keys deleted by then and not written since.
    pub fn compact(&mut self, revision: u64) {
        self.compacted = self.compacted.max(revision);
        self.keys.retain(|_, versions| {
            let replaced = versions.partition_point(|v| v.mod_revision <= revision);
            versions.drain(..replaced.saturating_sub(1));
            match versions.as_slice() {
                [only] => only.value.is_some() || only.mod_revision > revision,
                _ => true,
            }
        });
    }
}

fn pair(key: &Bytes, version: &KeyVersion, value: Bytes) -> Kv {
    Kv {
        key: Base64(key.clone()),
        create_revision: version.create_revision.into(),
        mod_revision: version.mod_revision.into(),
        version: version.version.into(),
        value: Base64(value),
        lease: Int64(version.lease),
    }
}

fn deletion(key: &Bytes, revision: u64) -> Event {
    let kv = Kv {
        key: Base64(key.clone()),
        create_revision: Int64(0),
        mod_revision: revision.into(),
        version: Int64(0),
        value: Base64::default(),
        lease: Int64(0),
    };
    Event {
        r#type: Some(EventType::Delete),
        kv,
    }
}

fn event(key: &Bytes, version: &KeyVersion) -> Event {
    match &version.value {
        Some(value) => Event {
            r#type: None,
            kv: pair(key, version, value.clone()),
        },
        None => deletion(key, version.mod_revision),
    }
}
