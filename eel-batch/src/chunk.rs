//! Encodes and decodes chunks: JSON lines compressed with zstd.

use std::io::Read as _;

use error_stack::{Report, ResultExt as _};
use serde::{Serialize, de::DeserializeOwned};

/// The maximum number of items in a chunk.
pub const MAX_ITEMS: usize = 1_000;
/// The maximum compressed size of a chunk; the key-value service stores values of up to 1 MB.
pub const MAX_BYTES: usize = 700_000;
/// The maximum size of a stored value after decompression.
const MAX_UNPACKED_BYTES: u64 = 256 << 20;
const COMPRESSION_LEVEL: i32 = 3;

/// The reason why a chunk cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The item at this position alone exceeds [`MAX_BYTES`].
    #[error("item {0} is larger than a chunk may be")]
    TooLarge(usize),
    /// The lines cannot be serialized or compressed.
    #[error("the lines can't be compressed")]
    Encode,
    /// The stored value cannot be decompressed or parsed.
    #[error("the stored lines are damaged")]
    Decode,
}

/// Compressed lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packed {
    /// The number of lines.
    pub lines: u32,
    /// The lines as JSON, compressed with zstd.
    pub bytes: Vec<u8>,
}

/// Compresses `lines` into one value of any size.
///
/// # Errors
///
/// [`Error::Encode`] if a line cannot be serialized or compressed.
pub fn pack<T: Serialize>(lines: &[T]) -> Result<Packed, Report<Error>> {
    let mut text = Vec::new();
    for line in lines {
        serde_json::to_writer(&mut text, line).change_context(Error::Encode)?;
        text.push(b'\n');
    }
    let bytes =
        zstd::encode_all(text.as_slice(), COMPRESSION_LEVEL).change_context(Error::Encode)?;
    Ok(Packed {
        lines: u32::try_from(lines.len()).change_context(Error::Encode)?,
        bytes,
    })
}

/// Compresses `lines` into values of at most [`MAX_ITEMS`] lines and [`MAX_BYTES`] bytes each, in order.
///
/// # Errors
///
/// [`Error::TooLarge`] if one line alone exceeds [`MAX_BYTES`], [`Error::Encode`] as for [`pack`].
pub fn pack_all<T: Serialize>(lines: &[T]) -> Result<Vec<Packed>, Report<Error>> {
    let mut chunks = Vec::new();
    for (number, group) in lines.chunks(MAX_ITEMS).enumerate() {
        split(group, number * MAX_ITEMS, &mut chunks)?;
    }
    Ok(chunks)
}

fn split<T: Serialize>(
    lines: &[T],
    first: usize,
    chunks: &mut Vec<Packed>,
) -> Result<(), Report<Error>> {
    let packed = pack(lines)?;
    if packed.bytes.len() <= MAX_BYTES {
        chunks.push(packed);
        return Ok(());
    }
    if lines.len() == 1 {
        return Err(Report::new(Error::TooLarge(first)));
    }
    let (left, right) = lines.split_at(lines.len() / 2);
    split(left, first, chunks)?;
    split(right, first + left.len(), chunks)
}

/// Decompresses and parses the lines of a stored value.
///
/// # Errors
///
/// [`Error::Decode`] if the value was not written by [`pack`], or holds lines of another type.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<Vec<T>, Report<Error>> {
    let decoder = zstd::Decoder::new(bytes).change_context(Error::Decode)?;
    let mut text = Vec::new();
    decoder
        .take(MAX_UNPACKED_BYTES)
        .read_to_end(&mut text)
        .change_context(Error::Decode)?;
    let lines = text.split(|byte| *byte == b'\n');
    lines
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).change_context(Error::Decode))
        .collect()
}
