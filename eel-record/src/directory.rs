//! Loads a directory of record files.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt as _};

use crate::{
    Error, Fault, Problem, Record, RecordKey, Severity, Spec, file::parse_file,
    location::JsonLocation, missing_references,
};

/// A record declared in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Declaration {
    /// The record with its unparsed `spec`.
    pub record: Record,
    /// The current form; `None` if the record is rejected.
    pub spec: Option<Spec>,
    /// The path of the file that declares the record.
    pub file: String,
    /// The line that the record starts on, counted from 1.
    pub line: usize,
    /// The JSON text of the record, to find the lines of its fields.
    pub(crate) raw: String,
}

/// All records that a directory declares, and the problems found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declarations {
    /// The records by key; of duplicates, the first.
    pub records: BTreeMap<RecordKey, Declaration>,
    /// The problems of single records in the order of files and lines, then those of references.
    pub problems: Vec<Problem>,
}

impl Declarations {
    /// Returns `true` if at least one problem is an error.
    #[must_use]
    pub fn has_errors(&self) -> bool {
        let mut problems = self.problems.iter();
        problems.any(|problem| problem.severity() == Severity::Error)
    }

    fn add_file(&mut self, file: &str, text: &str) {
        let (declarations, mut problems) = parse_file(file, text);
        self.problems.append(&mut problems);
        for declaration in declarations {
            self.add(declaration);
        }
    }

    fn add(&mut self, declaration: Declaration) {
        let key = declaration.record.key().clone();
        match self.records.get(&key) {
            Some(first) => {
                let first = format!("{}:{}", first.file, first.line);
                let fault = Fault::Duplicate { first };
                self.problems.push(declaration.problem("name", fault));
            }
            None => {
                self.records.insert(key, declaration);
            }
        }
    }

    fn check_references(&mut self) {
        let accepted = self.records.iter();
        let specs = accepted
            .filter_map(|(key, declaration)| Some((key.clone(), declaration.spec.clone()?)))
            .collect();
        for problem in missing_references(&specs) {
            let declaration = problem.record.as_ref().map(|key| &self.records[key]);
            let is_declared = match &problem.fault {
                Fault::MissingReference(key) => self.records.contains_key(key),
                _ => false,
            };
            if let Some(declaration) = declaration
                && !is_declared
            {
                let problem = declaration.problem(&problem.field, problem.fault);
                self.problems.push(problem);
            }
        }
    }
}

impl Declaration {
    /// Returns a problem with the file and line of `field`.
    #[must_use]
    pub fn problem(&self, field: &str, fault: Fault) -> Problem {
        let location = JsonLocation::root(&self.raw);
        let offset = location.map_or(0, |root| root.nearest_present(field).line() - 1);
        Problem {
            file: Some(self.file.clone()),
            line: Some(self.line + offset),
            record: Some(self.record.key().clone()),
            field: field.to_owned(),
            fault,
        }
    }
}

/// Reads all `.json` files under `directory`, recursively, and validates the records and the references between them.
///
/// # Errors
///
/// Returns an error if the directory or a file in it cannot be read; invalid records are reported in the result.
pub fn load_directory(directory: &Path) -> Result<Declarations, Report<Error>> {
    let mut declarations = Declarations::default();
    for path in list_files(directory)? {
        let text = fs::read_to_string(&path).change_context_lazy(|| read_error(&path))?;
        declarations.add_file(&path.display().to_string(), &text);
    }
    declarations.check_references();
    Ok(declarations)
}

fn list_files(directory: &Path) -> Result<Vec<PathBuf>, Report<Error>> {
    let mut files = Vec::new();
    let entries = fs::read_dir(directory).change_context_lazy(|| read_error(directory))?;
    for entry in entries {
        let path = entry.change_context_lazy(|| read_error(directory))?.path();
        if path.is_dir() {
            files.append(&mut list_files(&path)?);
        } else if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn read_error(path: &Path) -> Error {
    Error::Read {
        path: path.to_owned(),
    }
}
