//! Reads bodies of requests into memory of the node's budget.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{
    budget::Short,
    memory::{Held, hold},
};

/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The size of the first buffer, in bytes, unless a smaller body is announced: an announced size alone takes no more.
const START_BYTES: usize = 4 * 1024;

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It exceeds the size limit.
    #[error("the body is too large")]
    TooLarge,
    /// It could not be read to its end.
    #[error("the body is incomplete")]
    Incomplete,
    /// It was not received within the timeout.
    #[error("the body was not received in time")]
    TimedOut,
    /// The node has no memory for it, or gave it to others because the caller sent slowly.
    #[error("the node has no memory for the body")]
    NoMemory,
}

impl From<Short> for BodyError {
    fn from(_: Short) -> Self {
        Self::NoMemory
    }
}

/// Reads a body of at most `limit` bytes to its end into memory of `held`, which is released when the last reference to the
/// bytes is dropped. Fails once `evicted` is cancelled. A body that is announced to exceed the limit is not read.
///
/// # Errors
///
/// [`BodyError`] if it is too large, incomplete or late, or there is no memory for it.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    held: Held,
    evicted: &CancellationToken,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint();
    if announced.lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let largest = announced
        .upper()
        .and_then(|it| usize::try_from(it).ok())
        .map_or(limit, |it| it.min(limit));
    let buffer = tokio::select! {
        biased;
        () = evicted.cancelled() => return Err(BodyError::NoMemory),
        read = timeout(BODY_TIMEOUT, join_frames(body, largest, limit, &held)) => {
            read.map_err(|_| BodyError::TimedOut)??
        }
    };
    held.complete(buffer.capacity());
    // The memory may have been given to others just before; from here on it cannot be.
    if evicted.is_cancelled() {
        return Err(BodyError::NoMemory);
    }
    Ok(hold(buffer, held))
}

/// Joins the frames of a body in one buffer, which grows to at most `largest` bytes.
async fn join_frames(
    mut body: Incoming,
    largest: usize,
    limit: usize,
    held: &Held,
) -> Result<Vec<u8>, BodyError> {
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + bytes.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        if length > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(START_BYTES).min(largest);
            let capacity = doubled.max(length);
            held.grow(capacity)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&bytes);
        held.on_progress(bytes.len());
    }
    // Doubling can have reserved up to twice the size.
    buffer.shrink_to_fit();
    Ok(buffer)
}
