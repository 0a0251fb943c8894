//! References between records.

use std::collections::BTreeMap;

use crate::{Fault, Kind, Problem, RecordKey, Spec};

/// Returns a problem for each reference to a record that is not in `records`.
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

/// Lists the references of a record as pairs of field path and referenced record. The paths of reference fields are
/// the same in every schema version.
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
