//! Reads the spans from the nodes' trace file.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt as _};
use serde::{Deserialize, Serialize};

use super::Error;

/// One span of the trace file.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SpanRecord {
    /// The trace that the span belongs to, 32 hexadecimal digits.
    pub trace_id: String,
    /// The name of the span.
    pub name: String,
    /// When the span began, in nanoseconds since the Unix epoch.
    pub begin_unix_ns: u64,
    /// How long the span lasted, in nanoseconds.
    pub duration_ns: u64,
}

/// Returns all spans of the file, ordered by start time.
pub(super) fn read(path: &Path) -> Result<Vec<SpanRecord>, Report<Error>> {
    let text = fs::read_to_string(path).change_context(Error::File)?;
    let spans: Result<Vec<SpanRecord>, _> = text.lines().map(serde_json::from_str).collect();
    let mut spans = spans.change_context(Error::File)?;
    spans.sort_by_key(|span| span.begin_unix_ns);
    Ok(spans)
}
