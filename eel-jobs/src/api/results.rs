//! Results as a stream of JSON lines in item order.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use eel_batch::{ChunkIndex, Head, JobId};
use eel_store::KeyValue;
use futures_util::stream;
use http::{HeaderValue, header::CONTENT_TYPE};
use salvo::{Request, Response};

use super::{Problem, find};
use crate::{Host, JobNode};

/// How often a chunk is read again while its results come.
const FOLLOW_POLL: Duration = Duration::from_secs(2);

struct Reading<S, H> {
    node: Arc<JobNode<S, H>>,
    job: JobId,
    head: Head,
    chunk: ChunkIndex,
    told: usize,
    follows: bool,
}

/// Streams the results of a job. With `?follow=true` the stream waits for all of them; otherwise
/// it ends at the first item without a result.
pub(super) async fn stream<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    let (job, view) = find(node, req).await?;
    let reading = Reading {
        node: node.clone(),
        job,
        head: view.head,
        chunk: ChunkIndex(0),
        told: 0,
        follows: req.query::<bool>("follow").unwrap_or(false),
    };
    let lines = HeaderValue::from_static("application/jsonl");
    res.headers_mut().insert(CONTENT_TYPE, lines);
    res.stream(stream::unfold(Some(reading), |reading| async {
        next(reading?).await
    }));
    Ok(())
}

type Step<S, H> = Option<(io::Result<Bytes>, Option<Reading<S, H>>)>;

/// Reads on until there is something to tell. An error cuts the connection, so that a part can't
/// pass for the whole.
async fn next<S: KeyValue, H: Host>(mut reading: Reading<S, H>) -> Step<S, H> {
    while (reading.chunk.0 as usize) < reading.head.chunk_items.len() {
        let jobs = &reading.node.jobs;
        let read = jobs.results(reading.job, &reading.head, reading.chunk, reading.told);
        let Ok(read) = read.await else {
            return Some((Err(io::Error::other("the store gave no answer")), None));
        };
        reading.told += read.lines.len();
        let mut text = Vec::new();
        for line in &read.lines {
            if serde_json::to_writer(&mut text, line).is_err() {
                return Some((Err(io::Error::other("a result is damaged")), None));
            }
            text.push(b'\n');
        }
        if read.complete {
            reading.chunk = ChunkIndex(reading.chunk.0 + 1);
            reading.told = 0;
        }
        let ends = !read.complete && !reading.follows;
        if !text.is_empty() {
            return Some((Ok(Bytes::from(text)), (!ends).then_some(reading)));
        }
        if ends {
            return None;
        }
        if !read.complete {
            tokio::time::sleep(FOLLOW_POLL).await;
        }
    }
    None
}
