//! Reads the bodies of HTTP responses up to a size.

use std::error::Error;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;

/// Why the body of a response cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed, or the response did not arrive in time.
    #[error("cannot read the body: {0}")]
    Broken(Box<dyn Error + Send + Sync>),
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

/// Reads the body of the response to a call of `path`, which a faulty service may never end, and logs one of more than
/// `max_bytes`.
///
/// # Errors
///
/// [`BodyError`]; the effect of the call is unknown.
pub async fn read_body<B>(path: &str, mut body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
{
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.into()))?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if part.len() > max_bytes - read.len() {
            log::warn!(target: "store", path, max_bytes; "A response is not read to its end: it is too long.");
            return Err(BodyError::TooLong { max_bytes });
        }
        read.extend_from_slice(&part);
    }
    Ok(read.freeze())
}
