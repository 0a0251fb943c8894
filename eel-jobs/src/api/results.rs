//! Streams the results of a job as JSON lines in item order.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use eel_batch::{ChunkIndex, Head, JobId};
use eel_store::KeyValue;
use futures_util::stream;
use http::{HeaderValue, header::CONTENT_TYPE};
use salvo::{Request, Response};

use super::{ApiError, find_job};
use crate::{Host, JobNode};

/// The interval at which an incomplete chunk is read again with `?follow=true`.
const FOLLOW_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The position in the results of a job up to which lines have been sent.
struct ResultsCursor<S, H> {
    node: Arc<JobNode<S, H>>,
    job: JobId,
    head: Head,
    chunk: ChunkIndex,
    lines_sent: usize,
    follow: bool,
}

/// Streams the results of a job. With `?follow=true` the stream waits for all of them; otherwise it ends at the first
/// item without a result.
pub(super) async fn stream<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), ApiError> {
    let (job, view) = find_job(node, req).await?;
    let cursor = ResultsCursor {
        node: node.clone(),
        job,
        head: view.head,
        chunk: ChunkIndex(0),
        lines_sent: 0,
        follow: req.query::<bool>("follow").unwrap_or(false),
    };
    let lines = HeaderValue::from_static("application/jsonl");
    res.headers_mut().insert(CONTENT_TYPE, lines);
    res.stream(stream::unfold(Some(cursor), |cursor| async {
        next_lines(cursor?).await
    }));
    Ok(())
}

type NextLines<S, H> = Option<(io::Result<Bytes>, Option<ResultsCursor<S, H>>)>;

/// Reads chunks until there are new lines to send. An error aborts the connection, so that the caller cannot take a
/// partial stream for a complete one.
async fn next_lines<S: KeyValue, H: Host>(mut cursor: ResultsCursor<S, H>) -> NextLines<S, H> {
    while (cursor.chunk.0 as usize) < cursor.head.chunk_items.len() {
        let jobs = &cursor.node.jobs;
        let read = jobs.results(cursor.job, &cursor.head, cursor.chunk, cursor.lines_sent);
        let Ok(read) = read.await else {
            return Some((
                Err(io::Error::other("cannot read results from the store")),
                None,
            ));
        };
        cursor.lines_sent += read.lines.len();
        let mut text = Vec::new();
        for line in &read.lines {
            if serde_json::to_writer(&mut text, line).is_err() {
                return Some((Err(io::Error::other("cannot encode a result")), None));
            }
            text.push(b'\n');
        }
        if read.complete {
            cursor.chunk = ChunkIndex(cursor.chunk.0 + 1);
            cursor.lines_sent = 0;
        }
        let ends = !read.complete && !cursor.follow;
        if !text.is_empty() {
            return Some((Ok(Bytes::from(text)), (!ends).then_some(cursor)));
        }
        if ends {
            return None;
        }
        if !read.complete {
            tokio::time::sleep(FOLLOW_POLL_INTERVAL).await;
        }
    }
    None
}
