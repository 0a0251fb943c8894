//! Bodies of requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// It did not come as a whole.
    #[error("the body did not come as a whole")]
    Incomplete,
    /// It did not come in time.
    #[error("the body did not come in time")]
    Late,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// [`BodyError`] if it cannot be used.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Err(_) => Err(BodyError::Late),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Incomplete),
    }
}
