//! Reads the bodies of HTTP responses up to a size.

use bytes::{Bytes, BytesMut};
use reqwest::Response;

/// Why the body of a response cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed, or the response did not arrive in time.
    #[error("cannot read the body: {0}")]
    Broken(#[from] reqwest::Error),
    /// The body is longer than the service sends one. The connection is closed.
    #[error("the body has more than {max_bytes} bytes")]
    TooLong {
        /// The maximum size of the body, in bytes.
        max_bytes: usize,
    },
}

impl BodyError {
    /// Returns whether the body is longer than the service sends one.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        matches!(self, Self::TooLong { .. })
    }
}

/// Reads the body of `response`, which a faulty service may never end, and logs one of more than `max_bytes`.
///
/// # Errors
///
/// [`BodyError`]; the effect of the call is unknown.
pub async fn read_body(mut response: Response, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(part) = response.chunk().await? {
        if part.len() > max_bytes - body.len() {
            let path = response.url().path();
            log::warn!(target: "store", path, max_bytes; "A response is not read to its end: it is too long.");
            return Err(BodyError::TooLong { max_bytes });
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
