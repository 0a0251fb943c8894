//! Length-prefixed frames on a QUIC stream: a little-endian `u32` length in bytes, then one message encoded with
//! postcard.

use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt as _};
use futures_util::FutureExt as _;
use quinn::{ReadExactError, RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};

use crate::Error;

/// The maximum length of a frame without its prefix. It holds a request body of 16 MiB and its headers.
pub const MAX_FRAME_BYTES: usize = 17 * 1024 * 1024;

/// The size of the length prefix.
const PREFIX_BYTES: usize = 4;

/// Encodes `message` as one frame.
///
/// # Errors
///
/// [`Error::Malformed`] if the message cannot be encoded, [`Error::TooLong`] if its encoding exceeds
/// [`MAX_FRAME_BYTES`].
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, Report<Error>> {
    let mut frame = Vec::with_capacity(256);
    append(&mut frame, message)?;
    Ok(Bytes::from(frame))
}

/// Appends `message` to `buffer` as one frame, so that several frames can be sent in one write.
///
/// # Errors
///
/// The errors of [`encode`].
pub fn append<M: Serialize>(buffer: &mut Vec<u8>, message: &M) -> Result<(), Report<Error>> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; PREFIX_BYTES]);
    let taken = std::mem::take(buffer);
    *buffer = postcard::to_extend(message, taken).change_context(Error::Malformed)?;
    let length = buffer.len() - start - PREFIX_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(Report::new(Error::TooLong));
    }
    let prefix = u32::try_from(length).change_context(Error::TooLong)?;
    buffer[start..start + PREFIX_BYTES].copy_from_slice(&prefix.to_le_bytes());
    Ok(())
}

/// Writes `message` to `stream` as one frame.
///
/// # Errors
///
/// The errors of [`encode`], and [`Error::Closed`] if the stream or its link ended.
pub async fn write<M: Serialize>(
    stream: &mut SendStream,
    message: &M,
) -> Result<(), Report<Error>> {
    let mut frame = [encode(message)?];
    stream
        .write_all_chunks(&mut frame)
        .await
        .change_context(Error::Closed)
}

/// Reads the next message from `stream`. Returns `None` if the stream ended between two frames.
///
/// # Errors
///
/// [`Error::Closed`] if the stream ended within a frame or its link failed, [`Error::TooLong`] if the frame exceeds
/// [`MAX_FRAME_BYTES`], [`Error::Malformed`] if it cannot be decoded.
pub async fn read<M: DeserializeOwned>(
    stream: &mut RecvStream,
) -> Result<Option<M>, Report<Error>> {
    let mut prefix = [0; PREFIX_BYTES];
    match stream.read_exact(&mut prefix).await {
        Ok(()) => {}
        Err(ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(Report::new(error).change_context(Error::Closed)),
    }
    let length = u32::from_le_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Report::new(Error::TooLong));
    }
    let frame = read_payload(stream, length).await?;
    postcard::from_bytes(&frame)
        .map(Some)
        .change_context(Error::Malformed)
}

/// Reads the FIN of `stream` if it has already arrived.
///
/// Dropping a stream before its FIN is read sends an extra packet, which asks the peer to stop sending.
pub fn consume_fin(stream: &mut RecvStream) {
    let _ = stream.read_chunk(1, true).now_or_never();
}

/// Reads `length` bytes. The buffer grows with the received data, so that a length prefix alone allocates no memory.
async fn read_payload(stream: &mut RecvStream, length: usize) -> Result<BytesMut, Report<Error>> {
    let mut payload = BytesMut::new();
    while payload.len() < length {
        let missing = length - payload.len();
        let chunk = stream
            .read_chunk(missing, true)
            .await
            .change_context(Error::Closed)?
            .ok_or_else(|| Report::new(Error::Closed))?;
        payload.extend_from_slice(&chunk.bytes);
    }
    Ok(payload)
}
