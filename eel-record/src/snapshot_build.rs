//! Builds the snapshot in force from the records in the store.

use eel_types::{Name, Revision};

use crate::{Decoded, Fault, Kind, Problem, Record, RecordKey, Snapshot, decode};

/// A key-value pair of the store that holds a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The store key after the configuration prefix: `kind/name`.
    pub path: Name,
    /// The revision of the last write to the record.
    pub revision: Revision,
    /// The JSON text of the record; not validated.
    pub value: Vec<u8>,
}

/// A new snapshot, and the problems of records that could not be put in force.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotOutcome {
    /// The snapshot to put in force.
    pub snapshot: Snapshot,
    /// The reasons why records stay at an earlier version or are not in force, and warnings.
    pub problems: Vec<Problem>,
}

impl Snapshot {
    /// Builds the successor of `previous` from the `records` that the store holds at `revision`.
    ///
    /// A record never falls back to an older version than the one in force. A record that is malformed, invalid or of
    /// an unsupported schema version keeps the version in force, and a model stays in force while a service in force
    /// refers to it. Records that the store no longer holds are removed. A `revision` older than that of `previous`
    /// changes nothing.
    #[must_use]
    pub fn from_records(
        revision: Revision,
        previous: &Self,
        records: impl IntoIterator<Item = StoredRecord>,
    ) -> SnapshotOutcome {
        if revision < previous.revision {
            let fault = stale_fault(revision, previous.revision);
            return SnapshotOutcome {
                snapshot: previous.clone(),
                problems: vec![Problem::new(None, "", fault)],
            };
        }
        let mut builder = Builder {
            previous,
            next: Self {
                revision,
                ..Self::default()
            },
            problems: Vec::new(),
        };
        for record in records {
            builder.add(&record);
        }
        builder.resolve_models();
        SnapshotOutcome {
            snapshot: builder.next,
            problems: builder.problems,
        }
    }
}

struct Builder<'a> {
    previous: &'a Snapshot,
    next: Snapshot,
    problems: Vec<Problem>,
}

impl Builder<'_> {
    fn add(&mut self, stored: &StoredRecord) {
        let key: RecordKey = match stored.path.parse() {
            Ok(key) => key,
            Err(message) => return self.report(None, Fault::Syntax(message)),
        };
        let in_force = self.previous.in_force.get(&key).copied();
        match in_force {
            Some(in_force) if stored.revision < in_force => {
                self.keep_previous(&key);
                self.report(Some(key), stale_fault(stored.revision, in_force));
            }
            Some(in_force) if stored.revision == in_force => self.keep_previous(&key),
            Some(_) | None => self.replace(key, stored),
        }
    }

    fn replace(&mut self, key: RecordKey, stored: &StoredRecord) {
        let decoded = decode_stored(&key, &stored.value);
        self.problems.extend(decoded.problems);
        match decoded.spec {
            Some(spec) => self.next.insert(key, stored.revision, spec),
            None => self.keep_previous(&key),
        }
    }

    /// Keeps the version of the record in `previous`, if any.
    fn keep_previous(&mut self, key: &RecordKey) {
        let revision = self.previous.in_force.get(key);
        if let (Some(&revision), Some(spec)) = (revision, self.previous.get(key)) {
            self.next.insert(key.clone(), revision, spec);
        }
    }

    /// Makes sure that each service refers to a model in force. If the model is missing, keeps its previous version; if
    /// there is none, the service keeps its own previous version, or is not in force if it has none.
    fn resolve_models(&mut self) {
        let services: Vec<_> = self.next.services.keys().cloned().collect();
        for name in services {
            let Some(model) = self.missing_model(&name) else {
                continue;
            };
            let key = RecordKey::new(Kind::Service, name.clone());
            let fault = Fault::MissingReference(model.clone());
            let problem = Problem::new(Some(key.clone()), "spec.model", fault);
            self.problems.push(problem);
            if !self.previous.in_force.contains_key(&model) {
                self.next.remove_service(&name);
                self.keep_previous(&key);
            }
            if let Some(model) = self.missing_model(&name) {
                self.keep_previous(&model);
            }
        }
    }

    fn missing_model(&self, service: &Name) -> Option<RecordKey> {
        let model = self.next.services.get(service)?.model.clone()?;
        let is_present = self.next.models.contains_key(&model);
        (!is_present).then(|| RecordKey::new(Kind::Model, model))
    }

    fn report(&mut self, key: Option<RecordKey>, fault: Fault) {
        self.problems.push(Problem::new(key, "", fault));
    }
}

fn decode_stored(key: &RecordKey, value: &[u8]) -> Decoded {
    let problem = match Record::from_slice(value) {
        Ok(record) if record.key() == key => return decode(&record),
        Ok(record) => {
            let stored_as = key.to_string();
            let found = Some(record.key().clone());
            Problem::new(found, "", Fault::Misplaced { stored_as })
        }
        Err(report) => {
            let error = report.current_context().clone();
            Problem::new(Some(key.clone()), error.field, error.fault)
        }
    };
    Decoded {
        spec: None,
        problems: vec![problem],
    }
}

fn stale_fault(found: Revision, in_force: Revision) -> Fault {
    Fault::Stale {
        found: found.0,
        in_force: in_force.0,
    }
}
