//! Guards against a plan that overwrites or deletes another operator's change, which happens when the stored record is
//! newer than the lock file or missing from it. Covers combinations of directory, store, lock file and options.

use std::fs;

use eel_core::{
    LockFile, StoredEntry, StoredRecords,
    plan::{Action, Conflict, ConflictCause, DiffBase, diff},
};
use eel_record::{Declarations, Record, RecordKey, load_directory};
use eel_types::Revision;

use crate::directory::service;

#[derive(Debug, PartialEq)]
enum Found {
    Nothing,
    Kept,
    Unchanged,
    Change(Action),
    Conflict(ConflictCause),
}

fn declared(slots: Option<u32>) -> Declarations {
    let directory = tempfile::tempdir().unwrap();
    if let Some(slots) = slots {
        let file = directory.path().join("s.json");
        fs::write(file, service("s", slots).to_string()).unwrap();
    }
    load_directory(directory.path()).unwrap()
}

fn stored(held: Option<(u32, u64)>) -> StoredRecords {
    let records = held.map(|(slots, revision)| {
        let record = Record::from_value(service("s", slots)).unwrap();
        let entry = StoredEntry {
            revision: Revision(revision),
            record: Some(record.with_token("t")),
        };
        (key(), entry)
    });
    StoredRecords {
        revision: Revision(9),
        records: records.into_iter().collect(),
    }
}

fn key() -> RecordKey {
    "service/s".parse().unwrap()
}

#[test]
fn cases() {
    use Action::{Create, Delete, Update};
    use ConflictCause::{Changed, Created, Deleted};
    // Declared slots, stored slots and revision, revision in the lock file, overwrite, prune, expected action.
    let cases = [
        (None, None, None, false, true, Found::Nothing),
        (Some(1), None, None, false, false, Found::Change(Create)),
        (
            Some(1),
            None,
            Some(3),
            false,
            false,
            Found::Conflict(Deleted),
        ),
        (Some(1), None, Some(3), true, false, Found::Change(Create)),
        (Some(1), Some((1, 5)), None, false, false, Found::Unchanged),
        (
            Some(1),
            Some((1, 5)),
            Some(3),
            false,
            false,
            Found::Unchanged,
        ),
        (
            Some(2),
            Some((1, 5)),
            Some(5),
            false,
            false,
            Found::Change(Update),
        ),
        (
            Some(2),
            Some((1, 5)),
            None,
            false,
            false,
            Found::Conflict(Created),
        ),
        (
            Some(2),
            Some((1, 5)),
            Some(3),
            false,
            false,
            Found::Conflict(Changed),
        ),
        (
            Some(2),
            Some((1, 5)),
            Some(3),
            true,
            false,
            Found::Change(Update),
        ),
        (None, Some((1, 5)), Some(5), false, false, Found::Kept),
        (
            None,
            Some((1, 5)),
            Some(5),
            false,
            true,
            Found::Change(Delete),
        ),
        (
            None,
            Some((1, 5)),
            Some(3),
            false,
            true,
            Found::Conflict(Changed),
        ),
        (None, Some((1, 5)), None, false, true, Found::Kept),
    ];
    for (slots, held, locked, overwrite, prune, expected) in cases {
        let records = locked.map(|revision| (key(), Revision(revision)));
        let lock = LockFile {
            records: records.into_iter().collect(),
        };
        let overwrite = if overwrite { vec![key()] } else { Vec::new() };
        let base = DiffBase {
            lock: &lock,
            overwrite: &overwrite,
            prune,
        };
        let plan = diff(&declared(slots), &stored(held), base);
        let found = match (&plan.changes[..], &plan.conflicts[..]) {
            ([change], []) => Found::Change(change.action),
            ([], [Conflict { cause, .. }]) => Found::Conflict(*cause),
            ([], []) if !plan.unchanged.is_empty() => Found::Unchanged,
            ([], []) if !plan.kept.is_empty() => Found::Kept,
            _ => Found::Nothing,
        };
        assert_eq!(
            found, expected,
            "{slots:?} {held:?} {locked:?} {overwrite:?} {prune}"
        );
    }
}
