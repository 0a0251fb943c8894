//! Files that declare records.

use serde_json::Value;

use crate::{Declaration, Fault, Problem, Record, decode, place::Place};

/// Reads the record or array of records in `text`; problems name `file`.
#[must_use]
pub fn parse_file(file: &str, text: &str) -> (Vec<Declaration>, Vec<Problem>) {
    let mut problems = Vec::new();
    let mut declarations = Vec::new();
    if let Err(err) = serde_json::from_str::<Value>(text) {
        problems.push(Problem {
            file: Some(file.to_owned()),
            line: Some(err.line()),
            record: None,
            field: String::new(),
            fault: Fault::Syntax(err.to_string()),
        });
    }
    let Some(root) = Place::root(text) else {
        return (declarations, problems);
    };
    let places = root.elements().unwrap_or_else(|| vec![root]);
    for place in places {
        let (declaration, mut found) = parse_record(file, place);
        declarations.extend(declaration);
        problems.append(&mut found);
    }
    (declarations, problems)
}

fn parse_record(file: &str, place: Place<'_>) -> (Option<Declaration>, Vec<Problem>) {
    let record = match Record::from_slice(place.raw().as_bytes()) {
        Ok(record) => record,
        Err(report) => {
            let error = report.current_context().clone();
            let problem = Problem::new(None, error.field, error.fault);
            return (None, vec![locate(problem, file, place)]);
        }
    };
    let decoded = decode(&record);
    let problems = decoded.problems.into_iter();
    let problems = problems.map(|p| locate(p, file, place)).collect();
    let declaration = Declaration {
        record,
        spec: decoded.spec,
        file: file.to_owned(),
        line: place.line(),
        raw: place.raw().to_owned(),
    };
    (Some(declaration), problems)
}

fn locate(mut problem: Problem, file: &str, place: Place<'_>) -> Problem {
    problem.line = Some(place.nearest(&problem.field).line());
    problem.file = Some(file.to_owned());
    problem
}
