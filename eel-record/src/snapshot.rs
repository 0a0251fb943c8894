//! The validated configuration at one revision.

use std::collections::BTreeMap;

use eel_types::{Name, Revision};
use serde::{Deserialize, Serialize};

use crate::{CallerSpec, JobSpec, Kind, ModelSpec, RecordKey, ServiceSpec, Spec};

/// Every record in force at one revision of the key-value service, in current form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision that this snapshot reflects.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceSpec>,
    /// Models by name.
    pub models: BTreeMap<Name, ModelSpec>,
    /// Callers by name.
    pub callers: BTreeMap<Name, CallerSpec>,
    /// Batch jobs that operators declare, by name.
    pub jobs: BTreeMap<Name, JobSpec>,
    /// For each record in force, the revision that it was written at.
    pub in_force: BTreeMap<RecordKey, Revision>,
}

impl Snapshot {
    /// Returns the current form of a record in force.
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

    /// Puts a record in force.
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

    /// Takes a service out of force.
    pub(crate) fn remove_service(&mut self, name: &Name) {
        self.services.remove(name);
        self.in_force
            .remove(&RecordKey::new(Kind::Service, name.clone()));
    }
}
