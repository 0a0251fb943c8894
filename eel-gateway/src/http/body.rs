//! Reads bodies of requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

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
}

/// Reads a body of at most `limit` bytes to its end.
///
/// # Errors
///
/// [`BodyError`] if it is too large, incomplete or late.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Err(_) => Err(BodyError::TimedOut),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Incomplete),
    }
}
