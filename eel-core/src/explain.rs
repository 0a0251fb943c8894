//! `explain`: collects the log lines of all processes for one request, item or job, in order of time.

use std::{fmt, fs, path::PathBuf};

use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use serde_json::{Map, Value};
use thiserror::Error as ThisError;

use crate::Exit;

/// Options of [`explain`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The id of a request, an item or a job to search for.
    pub id: String,
    /// Log files in the JSON lines format. Text before a line's JSON object, such as a process name, becomes
    /// [`Line::source`].
    pub files: Vec<PathBuf>,
}

/// A log line that has the id as the value of one of its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// When the line was written, by the clock of the process that wrote it.
    pub unix_ms: u64,
    /// The text before the JSON object; empty if there is none.
    pub source: String,
    /// The component that logged the line.
    pub part: String,
    /// The log message.
    pub message: String,
    /// The key-value pairs of the line.
    pub fields: Map<String, Value>,
}

/// The log lines found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The lines, ordered by timestamp.
    pub lines: Vec<Line>,
}

/// Reasons why the logs cannot be searched.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A log file cannot be read.
    #[error("cannot read the log file {}", file.display())]
    Read {
        /// The log file.
        file: PathBuf,
    },
}

impl Outcome {
    /// Returns the exit status for this outcome: [`Exit::Invalid`] if no line was found.
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
            return f.write_str("no log line contains this id");
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

/// Searches the log files for lines that contain the id.
///
/// # Errors
///
/// Returns [`Error::Read`] if a file cannot be read.
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

/// Parses a log line; returns `None` unless one of its fields equals the id.
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
