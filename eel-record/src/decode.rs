//! Decodes records of any supported schema version to the current form of their kind.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    CallerSpec, Fault, JobSpec, Kind, ModelSpec, NEWEST_SCHEMA, Problem, Record, ServiceSpec,
    schema::{CallerV1, CallerV2, JobV1, JobV2, ModelV1, ModelV2, Schema, ServiceV1, ServiceV2},
    validate::{self, InvalidField},
};

/// The current form of a record of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Spec {
    /// The current form of a service record.
    Service(ServiceSpec),
    /// The current form of a model record.
    Model(ModelSpec),
    /// The current form of a caller record.
    Caller(CallerSpec),
    /// The current form of a job record.
    Job(JobSpec),
}

/// The result of decoding a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Decoded {
    /// The current form; `None` if the record is rejected.
    pub spec: Option<Spec>,
    /// The problems found, without file and line.
    pub problems: Vec<Problem>,
}

/// Decodes, upgrades and validates `record`; references to other records are not checked.
#[must_use]
pub fn decode(record: &Record) -> Decoded {
    match (record.key().kind, record.schema()) {
        (Kind::Service, 1) => decode_as::<ServiceV1>(record, validate::service, Spec::Service),
        (Kind::Service, 2) => decode_as::<ServiceV2>(record, validate::service, Spec::Service),
        (Kind::Model, 1) => decode_as::<ModelV1>(record, validate::model, Spec::Model),
        (Kind::Model, 2) => decode_as::<ModelV2>(record, validate::model, Spec::Model),
        (Kind::Caller, 1) => decode_as::<CallerV1>(record, validate::caller, Spec::Caller),
        (Kind::Caller, 2) => decode_as::<CallerV2>(record, validate::caller, Spec::Caller),
        (Kind::Job, 1) => decode_as::<JobV1>(record, validate::job, Spec::Job),
        (Kind::Job, 2) => decode_as::<JobV2>(record, validate::job, Spec::Job),
        (_, schema) => too_new(record, schema),
    }
}

fn decode_as<S: Schema>(
    record: &Record,
    validate: fn(&S::Current) -> Vec<InvalidField>,
    wrap: fn(S::Current) -> Spec,
) -> Decoded {
    let form: S = match serde_path_to_error::deserialize(record.spec()) {
        Ok(form) => form,
        Err(err) => {
            let path = match err.path().to_string() {
                path if path == "." => String::new(),
                path => path,
            };
            let fault = Fault::Syntax(err.into_inner().to_string());
            return reject(vec![problem(record, &path, fault)]);
        }
    };
    let mut problems = unknown_fields(record, &form);
    let current = form.upgrade();
    let invalid = validate(&current);
    if invalid.is_empty() {
        return Decoded {
            spec: Some(wrap(current)),
            problems,
        };
    }
    problems.extend(
        invalid
            .into_iter()
            .map(|i| problem(record, &S::source_path(&i.field), i.fault)),
    );
    reject(problems)
}

fn too_new(record: &Record, schema: u32) -> Decoded {
    let fault = Fault::TooNew {
        schema,
        newest: NEWEST_SCHEMA,
    };
    let key = Some(record.key().clone());
    reject(vec![Problem::new(key, "schema", fault)])
}

fn reject(problems: Vec<Problem>) -> Decoded {
    Decoded {
        spec: None,
        problems,
    }
}

fn problem(record: &Record, path: &str, fault: Fault) -> Problem {
    let field = match path {
        "" => "spec".to_owned(),
        path => format!("spec.{path}"),
    };
    Problem::new(Some(record.key().clone()), field, fault)
}

/// Finds unknown fields: those of the record that are missing once the decoded form is serialised again.
fn unknown_fields(record: &Record, form: &impl Serialize) -> Vec<Problem> {
    let known = serde_json::to_value(form).unwrap_or_default();
    let mut paths = Vec::new();
    collect_unknown(record.spec(), &known, "", &mut paths);
    let unknown = paths.iter();
    unknown
        .map(|path| problem(record, path, Fault::UnknownField))
        .collect()
}

fn collect_unknown(read: &Value, known: &Value, path: &str, unknown: &mut Vec<String>) {
    match (read, known) {
        (Value::Object(read), Value::Object(known)) => {
            for (field, value) in read {
                let dot = if path.is_empty() { "" } else { "." };
                let path = format!("{path}{dot}{field}");
                match known.get(field) {
                    Some(known) => collect_unknown(value, known, &path, unknown),
                    None => unknown.push(path),
                }
            }
        }
        (Value::Array(read), Value::Array(known)) => {
            for (index, (value, known)) in read.iter().zip(known).enumerate() {
                collect_unknown(value, known, &format!("{path}[{index}]"), unknown);
            }
        }
        _ => {}
    }
}
