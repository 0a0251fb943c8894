//! An INI file that keeps the line numbers of its keys.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt as _};
use ini::Ini;

use crate::{Error, Fault, Problem, section::Section};

/// A parsed INI file and the problems found in it so far.
pub struct Document {
    file: String,
    directory: PathBuf,
    ini: Ini,
    section_lines: BTreeMap<String, usize>,
    key_lines: BTreeMap<(String, String), usize>,
    problems: Vec<Problem>,
}

impl Document {
    /// Reads and parses the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Report<Error>> {
        let text = fs::read_to_string(path).change_context_lazy(|| Error::Read {
            path: path.to_owned(),
        })?;
        let directory = path.parent().unwrap_or(Path::new("")).to_owned();
        Self::parse(&text, &path.display().to_string(), directory)
    }

    /// Parses `text`; relative paths in it are resolved against `directory`.
    pub fn parse(text: &str, file: &str, directory: PathBuf) -> Result<Self, Report<Error>> {
        let ini = Ini::load_from_str_noescape(text).map_err(|err| {
            let problem = Problem {
                file: file.to_owned(),
                line: err.line,
                section: String::new(),
                key: String::new(),
                fault: Fault::Syntax(err.msg.to_string()),
            };
            Report::new(Error::Invalid {
                problems: vec![problem],
            })
        })?;
        let mut document = Self {
            file: file.to_owned(),
            directory,
            ini,
            section_lines: BTreeMap::new(),
            key_lines: BTreeMap::new(),
            problems: Vec::new(),
        };
        document.locate_keys(text);
        Ok(document)
    }

    /// Records the line of each section and key, because the INI parser does not, and reports duplicate keys.
    fn locate_keys(&mut self, text: &str) {
        let mut section = String::new();
        for (line, content) in (1..).zip(text.lines().map(str::trim)) {
            if content.is_empty() || content.starts_with([';', '#']) {
                continue;
            }
            if let Some(header) = content.strip_prefix('[') {
                header
                    .split(']')
                    .next()
                    .unwrap_or("")
                    .trim()
                    .clone_into(&mut section);
                self.section_lines.entry(section.clone()).or_insert(line);
            } else if let Some((key, _)) = content.split_once(['=', ':']) {
                self.locate_key(&section, key.trim(), line);
            }
        }
    }

    fn locate_key(&mut self, section: &str, key: &str, line: usize) {
        let location = (section.to_owned(), key.to_owned());
        match self.key_lines.get(&location) {
            Some(&first_line) => {
                self.push(section, key, line, Fault::Duplicate { first_line });
            }
            None => {
                self.key_lines.insert(location, line);
            }
        }
    }

    /// Returns a reader of the section `name`, which may be missing.
    pub fn section<'a>(&'a mut self, name: &'static str) -> Section<'a> {
        Section::new(self, name)
    }

    /// Reports sections that are not in `allowed`, and keys outside of any section.
    pub fn check_sections(&mut self, allowed: &[&str]) {
        let top_keys = self.key_lines.iter().filter(|((s, _), _)| s.is_empty());
        let top: Vec<_> = top_keys.map(|((_, key), &l)| (key.clone(), l)).collect();
        for (key, line) in top {
            let fault = Fault::UnknownKey {
                allowed: "none above the first section".to_owned(),
            };
            self.push("", &key, line, fault);
        }
        for (section, line) in self.section_lines.clone() {
            if !allowed.contains(&section.as_str()) {
                let allowed = allowed.join(", ");
                self.push(&section, "", line, Fault::UnknownSection { allowed });
            }
        }
    }

    /// Returns `settings`, or an error with all problems in the order of their lines.
    pub fn finish<T>(mut self, settings: T) -> Result<T, Report<Error>> {
        if self.problems.is_empty() {
            return Ok(settings);
        }
        self.problems.sort_by_key(|problem| problem.line);
        Err(Report::new(Error::Invalid {
            problems: self.problems,
        }))
    }

    /// Returns the value of a key without surrounding white space.
    pub fn get(&self, section: &str, key: &str) -> Option<String> {
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    /// Returns the keys of a section with their lines.
    pub fn keys(&self, section: &str) -> Vec<(String, usize)> {
        let keys = self.key_lines.iter().filter(|((s, _), _)| s == section);
        keys.map(|((_, key), &line)| (key.clone(), line)).collect()
    }

    /// Resolves a path against the directory of the file.
    pub fn resolve(&self, path: &str) -> PathBuf {
        self.directory.join(path)
    }

    /// Reports a problem at the line of `key`, or of its section if the key is missing.
    pub fn report(&mut self, section: &str, key: &str, fault: Fault) {
        let location = (section.to_owned(), key.to_owned());
        let key_line = self.key_lines.get(&location);
        let line = key_line.or_else(|| self.section_lines.get(section));
        let line = line.copied().unwrap_or(1);
        self.push(section, key, line, fault);
    }

    fn push(&mut self, section: &str, key: &str, line: usize, fault: Fault) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            fault,
        });
    }
}
