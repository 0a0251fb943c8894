//! Reads the spans that the nodes recorded.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt as _};
use serde::{Deserialize, Serialize};

use super::Error;

/// The span of one hop.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SpanRecord {
    /// The trace that the span belongs to, 32 hexadecimal digits.
    pub trace_id: String,
    /// The name of the hop.
    pub name: String,
    /// When the hop began, in Unix time.
    pub begin_unix_ns: u64,
    /// How long the hop lasted.
    pub duration_ns: u64,
}

/// Returns all spans of the file in the order of their beginnings.
pub(super) fn read(path: &Path) -> Result<Vec<SpanRecord>, Report<Error>> {
    let text = fs::read_to_string(path).change_context(Error::File)?;
    let spans: Result<Vec<SpanRecord>, _> = text.lines().map(serde_json::from_str).collect();
    let mut spans = spans.change_context(Error::File)?;
    spans.sort_by_key(|span| span.begin_unix_ns);
    Ok(spans)
}
