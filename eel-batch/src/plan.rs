//! Parses and validates a submitted job.

use std::collections::HashSet;

use eel_types::{Name, to_hex};
use error_stack::Report;
use sha2::{Digest as _, Sha256};

use crate::{Head, Item, JobId, chunk};

/// The maximum length of a `custom_id`.
const MAX_CUSTOM_ID_BYTES: usize = 512;
/// The maximum number of chunks of a job; the transaction that writes the head names all of them.
const MAX_CHUNKS: usize = 100;

/// The limits on a job that the operator configures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// The maximum number of items in a job.
    pub items: usize,
    /// The maximum size of the lines of a job, in bytes.
    pub bytes: usize,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self {
            items: 100_000,
            bytes: 200 << 20,
        }
    }
}

/// The parameters of a job that its caller gives in addition to its items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobTerms {
    /// The name of the caller that submits the job.
    pub caller: Name,
    /// The key that identifies the job among the jobs of its caller; a resend has the same key.
    pub idempotency_key: Name,
    /// The name of the service that runs the items.
    pub service: Name,
    /// Whether an item may run more than once.
    pub repeatable: bool,
    /// The deadline of the last item, in Unix time.
    pub deadline_unix_ms: u64,
    /// How long the results are kept after the deadline.
    pub retention_ms: u64,
}

/// The reason why a job is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// All lines are empty.
    #[error("the job holds no items")]
    Empty,
    /// The idempotency key is empty.
    #[error("the idempotency key is missing")]
    NoKey,
    /// The job has more items than [`JobLimits::items`].
    #[error("line {line}: a job may hold at most {limit} items")]
    TooManyItems {
        /// The first line over the limit.
        line: usize,
        /// The maximum number of items.
        limit: usize,
    },
    /// The lines are larger than [`JobLimits::bytes`].
    #[error("the job has {bytes} bytes, at most {limit} are allowed")]
    TooManyBytes {
        /// The size of the lines.
        bytes: usize,
        /// The maximum size.
        limit: usize,
    },
    /// The compressed items need too many chunks.
    #[error("the job needs {chunks} chunks, at most {MAX_CHUNKS} are allowed; split it")]
    TooManyChunks {
        /// The number of chunks needed.
        chunks: usize,
    },
    /// A line is not a valid item.
    #[error("line {line}: {cause}")]
    BadLine {
        /// The line number, from 1.
        line: usize,
        /// The error in the line.
        cause: String,
    },
    /// Two lines have the same `custom_id`.
    #[error("line {line}: custom_id `{custom_id}` stands on an earlier line too")]
    DuplicateId {
        /// The number of the later line, from 1.
        line: usize,
        /// The duplicate `custom_id`.
        custom_id: Name,
    },
}

/// A validated job, split into chunks.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// The id derived from the caller and the idempotency key.
    pub job: JobId,
    /// The head, which is written last; `accepted_unix_ms` and `token` are set at submission.
    pub head: Head,
    /// The chunks, which are written first, in order.
    pub chunks: Vec<chunk::Packed>,
}

impl JobPlan {
    /// Parses `lines`, one JSON item per line; empty lines are skipped.
    ///
    /// # Errors
    ///
    /// A [`PlanError`] that names the first invalid line.
    pub fn parse(
        terms: &JobTerms,
        lines: &[u8],
        limits: JobLimits,
    ) -> Result<Self, Report<PlanError>> {
        if terms.idempotency_key.is_empty() {
            return Err(Report::new(PlanError::NoKey));
        }
        if lines.len() > limits.bytes {
            return Err(Report::new(PlanError::TooManyBytes {
                bytes: lines.len(),
                limit: limits.bytes,
            }));
        }
        let (items, line_numbers) = parse_items(lines, limits)?;
        let chunks = chunk::pack_all(&items).map_err(|report| {
            let index = match report.current_context() {
                chunk::Error::TooLarge(index) => *index,
                chunk::Error::Encode | chunk::Error::Decode => 0,
            };
            let cause = report.current_context().to_string();
            report.change_context(PlanError::BadLine {
                line: line_numbers[index],
                cause,
            })
        })?;
        if chunks.len() > MAX_CHUNKS {
            let chunks = chunks.len();
            return Err(Report::new(PlanError::TooManyChunks { chunks }));
        }
        let head = Head {
            schema: Head::SCHEMA,
            caller: terms.caller.clone(),
            service: terms.service.clone(),
            digest: digest(terms, lines),
            token: 0,
            repeatable: terms.repeatable,
            accepted_unix_ms: 0,
            deadline_unix_ms: terms.deadline_unix_ms,
            retention_ms: terms.retention_ms,
            chunk_items: chunks.iter().map(|chunk| chunk.lines).collect(),
        };
        let job = JobId::derive(&terms.caller, &terms.idempotency_key);
        Ok(Self { job, head, chunks })
    }
}

fn parse_items(
    lines: &[u8],
    limits: JobLimits,
) -> Result<(Vec<Item>, Vec<usize>), Report<PlanError>> {
    let mut items: Vec<Item> = Vec::new();
    let mut line_numbers = Vec::new();
    let mut seen = HashSet::new();
    for (index, text) in lines.split(|byte| *byte == b'\n').enumerate() {
        let line = index + 1;
        if text.trim_ascii().is_empty() {
            continue;
        }
        if items.len() == limits.items {
            return Err(Report::new(PlanError::TooManyItems {
                line,
                limit: limits.items,
            }));
        }
        let item = parse_item(text).map_err(|cause| PlanError::BadLine { line, cause })?;
        if !seen.insert(item.custom_id.clone()) {
            let custom_id = item.custom_id;
            return Err(Report::new(PlanError::DuplicateId { line, custom_id }));
        }
        items.push(item);
        line_numbers.push(line);
    }
    if items.is_empty() {
        return Err(Report::new(PlanError::Empty));
    }
    Ok((items, line_numbers))
}

fn parse_item(text: &[u8]) -> Result<Item, String> {
    let item: Item = serde_json::from_slice(text).map_err(|err| err.to_string())?;
    if item.custom_id.is_empty() {
        return Err("custom_id is empty".to_owned());
    }
    if item.custom_id.len() > MAX_CUSTOM_ID_BYTES {
        return Err(format!("custom_id exceeds {MAX_CUSTOM_ID_BYTES} bytes"));
    }
    if !item.url.starts_with('/') {
        return Err("url does not begin with a slash".to_owned());
    }
    Ok(item)
}

/// Hashes the content of a job. The deadline is omitted: a relative deadline differs between resends.
fn digest(terms: &JobTerms, lines: &[u8]) -> Name {
    let mut hasher = Sha256::new();
    hasher.update((terms.service.len() as u64).to_be_bytes());
    hasher.update(terms.service.as_bytes());
    hasher.update([u8::from(terms.repeatable)]);
    hasher.update(lines);
    Name::from(to_hex(&hasher.finalize()))
}
