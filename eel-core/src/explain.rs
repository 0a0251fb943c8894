//! `explain`: prints what the logs of all processes say of one request, item or job, in order.

use std::{fmt, fs, path::PathBuf};

use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use serde_json::{Map, Value};
use thiserror::Error as ThisError;

use crate::Exit;

/// What to look for, and where.
#[derive(Clone, Debug)]
pub struct Options {
    /// The id of a request, an item or a job.
    pub id: String,
    /// Logs in JSON lines. Text before a line's object, such as a process's name, is kept.
    pub files: Vec<PathBuf>,
}

/// One line that names the id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// When it was written, by the clock of its process.
    pub unix_ms: u64,
    /// The text before the object.
    pub source: String,
    /// The part of the process that speaks.
    pub part: String,
    /// What it says.
    pub message: String,
    /// The inputs that it names.
    pub fields: Map<String, Value>,
}

/// What was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The lines in order of time.
    pub lines: Vec<Line>,
}

/// Why the logs could not be read.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read the log {}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
    },
}

impl Outcome {
    /// Returns what the outcome means to a script.
    #[must_use]
    pub fn exit(&self) -> Exit {
        if self.lines.is_empty() {
            Exit::Invalid
        } else {
            Exit::Success
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.lines.is_empty() {
            return f.write_str("no line names this id");
        }
        for (number, line) in self.lines.iter().enumerate() {
            if number > 0 {
                f.write_str("\n")?;
            }
            write!(
                f,
                "{} {} {}: {}",
                line.unix_ms, line.source, line.part, line.message
            )?;
            for (name, value) in &line.fields {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}

/// Reads the logs.
///
/// # Errors
///
/// [`Error::Read`] if a file cannot be read.
pub fn explain(options: &Options) -> Result<Outcome, Report<Error>> {
    let mut lines = Vec::new();
    for file in &options.files {
        let text =
            fs::read_to_string(file).change_context_lazy(|| Error::Read { file: file.clone() })?;
        let matching = text.lines().filter(|line| line.contains(&options.id));
        lines.extend(matching.filter_map(|line| parse_line(line, &options.id)));
    }
    lines.sort_by_key(|line| line.unix_ms);
    Ok(Outcome { lines })
}

/// Parses a line whose object has the id as a value; other lines are none of this request.
fn parse_line(line: &str, id: &str) -> Option<Line> {
    let (source, object) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    if !fields.values().any(|value| value.as_str() == Some(id)) {
        return None;
    }
    let mut take = |name: &str| fields.remove(name);
    let unix_ms = take("unix_ms")?.as_u64()?;
    let text = |value: Option<Value>| {
        value
            .and_then(|it| it.as_str().map(str::to_owned))
            .unwrap_or_default()
    };
    let (part, message) = (text(take("part")), text(take("message")));
    take("level");
    Some(Line {
        unix_ms,
        source: source.trim().to_owned(),
        part,
        message,
        fields,
    })
}
