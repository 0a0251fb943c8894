//! Parses record files.

use serde_json::Value;

use crate::{Declaration, Fault, Problem, Record, decode, location::JsonLocation};

/// Parses the record or array of records in `text`; `file` is the name that problems report.
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
    let Some(root) = JsonLocation::root(text) else {
        return (declarations, problems);
    };
    let locations = root.elements().unwrap_or_else(|| vec![root]);
    for location in locations {
        let (declaration, mut found) = parse_record(file, location);
        declarations.extend(declaration);
        problems.append(&mut found);
    }
    (declarations, problems)
}

fn parse_record(file: &str, location: JsonLocation<'_>) -> (Option<Declaration>, Vec<Problem>) {
    let record = match Record::from_slice(location.raw().as_bytes()) {
        Ok(record) => record,
        Err(report) => {
            let error = report.current_context().clone();
            let problem = Problem::new(None, error.field, error.fault);
            return (None, vec![with_location(problem, file, location)]);
        }
    };
    let decoded = decode(&record);
    let problems = decoded.problems.into_iter();
    let problems = problems.map(|p| with_location(p, file, location)).collect();
    let declaration = Declaration {
        record,
        spec: decoded.spec,
        file: file.to_owned(),
        line: location.line(),
        raw: location.raw().to_owned(),
    };
    (Some(declaration), problems)
}

fn with_location(mut problem: Problem, file: &str, location: JsonLocation<'_>) -> Problem {
    problem.line = Some(location.nearest_present(&problem.field).line());
    problem.file = Some(file.to_owned());
    problem
}
