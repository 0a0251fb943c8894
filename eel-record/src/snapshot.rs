//! The validated configuration of the fleet at one revision.

use std::collections::BTreeMap;

use eel_types::{Name, Revision};
use serde::{Deserialize, Serialize};

use crate::{CallerSpec, JobSpec, Kind, ModelSpec, RecordKey, ServiceSpec, Spec};

/// All records in force at one revision of the key-value service, in their current form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store revision that this snapshot reflects.
    pub revision: Revision,
    /// The services in force, by name.
    pub services: BTreeMap<Name, ServiceSpec>,
    /// The models in force, by name.
    pub models: BTreeMap<Name, ModelSpec>,
    /// The callers in force, by name.
    pub callers: BTreeMap<Name, CallerSpec>,
    /// The declared batch jobs in force, by name.
    pub jobs: BTreeMap<Name, JobSpec>,
    /// For each record in force, the revision of the write of this version.
    pub in_force: BTreeMap<RecordKey, Revision>,
}

impl Snapshot {
    /// Returns the record in force with that key, in its current form.
    #[must_use]
    pub fn get(&self, key: &RecordKey) -> Option<Spec> {
        let name = &key.name;
        match key.kind {
            Kind::Service => self.services.get(name).cloned().map(Spec::Service),
            Kind::Model => self.models.get(name).cloned().map(Spec::Model),
            Kind::Caller => self.callers.get(name).cloned().map(Spec::Caller),
            Kind::Job => self.jobs.get(name).cloned().map(Spec::Job),
        }
    }

    /// Puts a record in force at `revision`.
    pub(crate) fn insert(&mut self, key: RecordKey, revision: Revision, spec: Spec) {
        let name = key.name.clone();
        match spec {
            Spec::Service(spec) => drop(self.services.insert(name, spec)),
            Spec::Model(spec) => drop(self.models.insert(name, spec)),
            Spec::Caller(spec) => drop(self.callers.insert(name, spec)),
            Spec::Job(spec) => drop(self.jobs.insert(name, spec)),
        }
        self.in_force.insert(key, revision);
    }

    /// Removes a service that was put in force with [`insert`](Self::insert).
    pub(crate) fn remove_service(&mut self, name: &Name) {
        self.services.remove(name);
        self.in_force
            .remove(&RecordKey::new(Kind::Service, name.clone()));
    }
}
