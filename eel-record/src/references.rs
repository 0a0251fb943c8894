//! References from one record to another.

use std::collections::BTreeMap;

use crate::{Fault, Kind, Problem, RecordKey, Spec};

/// Finds references to records that are not in `records`.
#[must_use]
pub fn missing_references(records: &BTreeMap<RecordKey, Spec>) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (key, spec) in records {
        for (field, referenced) in references_of(spec) {
            if !records.contains_key(&referenced) {
                let fault = Fault::MissingReference(referenced);
                problems.push(Problem::new(Some(key.clone()), field, fault));
            }
        }
    }
    problems
}

/// Lists the fields of a record that name others, with what they name; these have the same path in every schema.
#[must_use]
pub fn references_of(spec: &Spec) -> Vec<(String, RecordKey)> {
    match spec {
        Spec::Service(service) => {
            let model = service.model.iter();
            model
                .map(|name| reference("spec.model", Kind::Model, name))
                .collect()
        }
        Spec::Caller(caller) => {
            let services = caller.services.iter().enumerate();
            services
                .filter(|(_, name)| name.as_str() != "*")
                .map(|(i, name)| reference(&format!("spec.services[{i}]"), Kind::Service, name))
                .collect()
        }
        Spec::Job(job) => vec![
            reference("spec.caller", Kind::Caller, &job.caller),
            reference("spec.service", Kind::Service, &job.service),
        ],
        Spec::Model(_) => Vec::new(),
    }
}

fn reference(field: &str, kind: Kind, name: &eel_types::Name) -> (String, RecordKey) {
    (field.to_owned(), RecordKey::new(kind, name.clone()))
}
