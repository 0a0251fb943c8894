//! Reads the spans that the nodes recorded.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt as _};
use serde::{Deserialize, Serialize};

use super::Error;

/// The span of one hop.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hop {
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
pub(super) fn read(path: &Path) -> Result<Vec<Hop>, Report<Error>> {
    let text = fs::read_to_string(path).change_context(Error::File)?;
    let hops: Result<Vec<Hop>, _> = text.lines().map(serde_json::from_str).collect();
    let mut hops = hops.change_context(Error::File)?;
    hops.sort_by_key(|hop| hop.begin_unix_ns);
    Ok(hops)
}
