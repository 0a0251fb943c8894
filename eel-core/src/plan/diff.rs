//! Computes the difference between declarations and the store.

use std::collections::BTreeSet;

use eel_record::{Declarations, RecordKey};
use eel_types::Revision;
use serde_json::Value;

use super::{Action, Change, Conflict, ConflictCause, FieldChange, Plan};
use crate::{LockFile, StoredEntry, StoredRecords};

/// The base revisions of the declarations, and the options that affect the diff.
#[derive(Clone, Copy, Debug)]
pub struct DiffBase<'a> {
    /// The revisions that the declarations are based on.
    pub lock: &'a LockFile,
    /// Records to overwrite even if they were changed since their base revision.
    pub overwrite: &'a [RecordKey],
    /// Whether to delete records that are in the lock file but no longer declared.
    pub prune: bool,
}

impl DiffBase<'_> {
    /// Returns `true` if the record at revision `found` in the store may be overwritten.
    fn may_overwrite(&self, key: &RecordKey, found: Option<Revision>) -> bool {
        self.overwrite.contains(key) || self.lock.records.get(key).copied() == found
    }
}

/// Computes the changes that bring `stored` in line with `declared`, and the conflicts.
#[must_use]
pub fn diff(declared: &Declarations, stored: &StoredRecords, base: DiffBase<'_>) -> Plan {
    let mut plan = Plan {
        revision: stored.revision,
        ..Plan::default()
    };
    for (key, declaration) in &declared.records {
        let content = declaration.record.content();
        add_declared(&mut plan, key, &content, stored.records.get(key), base);
    }
    let undeclared = stored.records.iter();
    for (key, entry) in undeclared.filter(|(key, _)| !declared.records.contains_key(key)) {
        add_undeclared(&mut plan, key, entry, base);
    }
    plan
}

fn add_declared(
    plan: &mut Plan,
    key: &RecordKey,
    content: &Value,
    entry: Option<&StoredEntry>,
    base: DiffBase<'_>,
) {
    let found = entry.map(|entry| entry.revision);
    let stored = entry.map_or(Value::Null, StoredEntry::content);
    if let Some(found) = found
        && stored == *content
    {
        plan.unchanged.push((key.clone(), found));
        return;
    }
    let fields = field_changes(&stored, content);
    if base.may_overwrite(key, found) {
        let action = match found {
            Some(_) => Action::Update,
            None => Action::Create,
        };
        plan.changes.push(Change {
            key: key.clone(),
            action,
            expected: found,
            fields,
        });
    } else {
        plan.conflicts.push(conflict(key, found, fields, base));
    }
}

fn add_undeclared(plan: &mut Plan, key: &RecordKey, entry: &StoredEntry, base: DiffBase<'_>) {
    let found = Some(entry.revision);
    let was_declared = base.lock.records.contains_key(key);
    if !base.prune || !was_declared {
        plan.kept.push(key.clone());
        return;
    }
    let fields = field_changes(&entry.content(), &Value::Null);
    if base.may_overwrite(key, found) {
        plan.changes.push(Change {
            key: key.clone(),
            action: Action::Delete,
            expected: found,
            fields,
        });
    } else {
        plan.conflicts.push(conflict(key, found, fields, base));
    }
}

fn conflict(
    key: &RecordKey,
    found: Option<Revision>,
    fields: Vec<FieldChange>,
    base: DiffBase<'_>,
) -> Conflict {
    let base = base.lock.records.get(key).copied();
    let cause = match (base, found) {
        (_, None) => ConflictCause::Deleted,
        (None, Some(_)) => ConflictCause::Created,
        (Some(_), Some(_)) => ConflictCause::Changed,
    };
    Conflict {
        key: key.clone(),
        cause,
        base,
        found,
        fields,
    }
}

/// Lists the fields that differ between two records, by path.
#[must_use]
pub fn field_changes(stored: &Value, declared: &Value) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    collect(stored, declared, "", &mut changes);
    changes
}

fn collect(stored: &Value, declared: &Value, path: &str, changes: &mut Vec<FieldChange>) {
    if stored == declared {
        return;
    }
    if let (Value::Object(a), Value::Object(b)) = (stored, declared) {
        let fields: BTreeSet<_> = a.keys().chain(b.keys()).collect();
        for field in fields {
            let dot = if path.is_empty() { "" } else { "." };
            let path = format!("{path}{dot}{field}");
            collect(&stored[field], &declared[field], &path, changes);
        }
        return;
    }
    changes.push(FieldChange {
        field: path.to_owned(),
        stored: stored.clone(),
        declared: declared.clone(),
    });
}
