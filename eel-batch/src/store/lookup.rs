//! Reads the progress and the results of a job.

use std::collections::BTreeMap;

use eel_store::{KeyValue, Op, RangeOutcome, RangeRequest, Txn};
use eel_types::Name;
use error_stack::ResultExt as _;
use serde::Serialize;

use super::{Error, JobStore, StoreResult, first_value, from_json, into_array};
use crate::{
    Assembler, ChunkIndex, Done, Head, Item, ItemError, ItemResult, JobId, Outcome, Progress,
    Response, StateKey, chunk, head::Archive,
};

/// A stored job and its progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// The head of the live or archived job.
    pub head: Head,
    /// The progress, from the finished chunks or the archive.
    pub progress: Progress,
}

/// One line of a job's results.
#[derive(Clone, Debug, Serialize)]
pub struct ResultLine {
    /// The id that the caller gave the item.
    pub custom_id: Name,
    /// The complete response of the service; `None` if the item ended with an error.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response: Option<Response>,
    /// The error of an item that was given up.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<ItemError>,
}

/// The results of one chunk in item order, up to the first item without one.
#[derive(Clone, Debug)]
pub struct ChunkLines {
    /// The lines from the requested item to the first item without a result.
    pub lines: Vec<ResultLine>,
    /// Whether every item of the chunk has its result.
    pub complete: bool,
}

impl<S: KeyValue> JobStore<S> {
    /// Reads the head and progress of `job`; `None` if it is not stored.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond, [`Error::Damaged`] if a value cannot be decoded.
    pub async fn get(&self, job: JobId) -> StoreResult<Option<JobView>> {
        let key = |key: String| Op::Range(RangeRequest::key(key));
        let txn = Txn {
            success: vec![
                key(self.keys.state(StateKey::Head(job))),
                key(self.keys.archive(job)),
                key(self.keys.state(StateKey::Cancel(job))),
                Op::Range(RangeRequest::prefix(self.keys.dones(job))),
            ],
            ..Txn::default()
        };
        let [live, archived, cancel, dones] = into_array(self.read(&txn).await?)?;
        if let Some(head) = first_value::<Head>(&live)? {
            let done = self.dones(&dones)?;
            let progress = Progress::new(&head, &done, !cancel.kvs.is_empty());
            return Ok(Some(JobView { head, progress }));
        }
        let archive = first_value::<Archive>(&archived)?;
        Ok(archive.map(|archive| JobView {
            progress: Progress::ended(&archive),
            head: archive.head,
        }))
    }

    fn dones(&self, range: &RangeOutcome) -> StoreResult<BTreeMap<ChunkIndex, Done>> {
        let mut dones = BTreeMap::new();
        for pair in &range.kvs {
            if let Some(StateKey::Done(_, chunk)) = self.keys.parse_state(&pair.key) {
                dones.insert(chunk, from_json(&pair.value)?);
            }
        }
        Ok(dones)
    }

    /// Reads the results of a chunk in item order, omitting the first `skip` items.
    ///
    /// # Errors
    ///
    /// The same as [`JobStore::get`].
    pub async fn results(
        &self,
        job: JobId,
        head: &Head,
        chunk: ChunkIndex,
        skip: usize,
    ) -> StoreResult<ChunkLines> {
        let input = self.keys.input(job, &head.digest, chunk);
        let txn = Txn {
            success: vec![
                Op::Range(RangeRequest::key(input)),
                Op::Range(RangeRequest::prefix(self.keys.outputs(job, chunk))),
            ],
            ..Txn::default()
        };
        let [input, outputs] = into_array(self.read(&txn).await?)?;
        let items: Vec<Item> = match input.kvs.first() {
            Some(pair) => chunk::unpack(&pair.value).change_context(Error::Damaged)?,
            None => Vec::new(),
        };
        let mut assembler = Assembler::default();
        let mut ordered = Vec::new();
        for part in &outputs.kvs {
            let results: Vec<ItemResult> =
                chunk::unpack(&part.value).change_context(Error::Damaged)?;
            ordered.extend(
                results
                    .into_iter()
                    .flat_map(|result| assembler.push(result)),
            );
        }
        let complete = ordered.len() == items.len();
        let lines = items.into_iter().zip(ordered).skip(skip);
        Ok(ChunkLines {
            lines: lines.map(|(item, result)| line(item, result)).collect(),
            complete,
        })
    }
}

fn line(item: Item, result: ItemResult) -> ResultLine {
    let (response, error) = match result.outcome {
        Outcome::Response(response) => (Some(response), None),
        Outcome::Error(error) => (None, Some(error)),
    };
    ResultLine {
        custom_id: item.custom_id,
        response,
        error,
    }
}
