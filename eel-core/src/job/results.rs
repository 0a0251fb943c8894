//! Download of a job's results.

use std::fmt;

use error_stack::{Report, ResultExt as _};
use reqwest::Method;
use serde::Serialize;
use tokio::io::{AsyncWrite, AsyncWriteExt as _};

use super::{Error, JobClient};
use crate::Exit;

/// Summary of a download of results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ResultsOutcome {
    /// The number of bytes written to the sink.
    pub bytes: u64,
}

impl ResultsOutcome {
    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        Exit::Success
    }
}

impl fmt::Display for ResultsOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes of results", self.bytes)
    }
}

/// Streams the results of job `id` to `sink`, one JSON object per line, in the order of the items.
///
/// With `wait`, the stream continues until every item has ended; otherwise it stops at the first item that has not.
///
/// # Errors
///
/// Returns an error if no entry node responds, the response is cut short, or a write to `sink` fails.
pub async fn results(
    id: &str,
    wait: bool,
    client: &JobClient,
    sink: &mut (impl AsyncWrite + Unpin),
) -> Result<ResultsOutcome, Report<Error>> {
    let path = format!("/v1/batches/{id}/results?follow={wait}");
    let mut response = client.send(&Method::GET, &path, |request| request).await?;
    let mut bytes = 0;
    while let Some(part) = response.chunk().await.change_context(Error::NoResponse)? {
        sink.write_all(&part).await.change_context(Error::File)?;
        bytes += part.len() as u64;
    }
    sink.flush().await.change_context(Error::File)?;
    Ok(ResultsOutcome { bytes })
}
