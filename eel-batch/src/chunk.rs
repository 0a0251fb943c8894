//! The codec of chunks: JSON lines under zstd.

use std::io::Read as _;

use error_stack::{Report, ResultExt as _};
use serde::{Serialize, de::DeserializeOwned};

/// The largest number of items in a chunk.
pub const MAX_ITEMS: usize = 1_000;
/// The largest compressed size of a chunk; the key-value service holds values up to 1 MB.
pub const MAX_BYTES: usize = 700_000;
/// The largest size that a stored value may unpack to.
const MAX_UNPACKED_BYTES: u64 = 256 << 20;
const LEVEL: i32 = 3;

/// A chunk that can't be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The item at this place alone exceeds [`MAX_BYTES`].
    #[error("item {0} is larger than a chunk may be")]
    TooLarge(usize),
    /// The value can't be compressed.
    #[error("the lines can't be compressed")]
    Encode,
    /// The stored value is damaged.
    #[error("the stored lines are damaged")]
    Decode,
}

/// Some lines, compressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packed {
    /// How many lines there are.
    pub lines: u32,
    /// The compressed lines.
    pub bytes: Vec<u8>,
}

/// Packs `lines` into one value.
///
/// # Errors
///
/// [`Error::Encode`] if a line can't be written.
pub fn pack<T: Serialize>(lines: &[T]) -> Result<Packed, Report<Error>> {
    let mut text = Vec::new();
    for line in lines {
        serde_json::to_writer(&mut text, line).change_context(Error::Encode)?;
        text.push(b'\n');
    }
    let bytes = zstd::encode_all(text.as_slice(), LEVEL).change_context(Error::Encode)?;
    Ok(Packed {
        lines: u32::try_from(lines.len()).change_context(Error::Encode)?,
        bytes,
    })
}

/// Packs `lines` into as many values as the limits of a chunk ask for, in order.
///
/// # Errors
///
/// [`Error::TooLarge`] if one line exceeds the limit alone, [`Error::Encode`] as [`pack`].
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

/// Unpacks the lines of a stored value.
///
/// # Errors
///
/// [`Error::Decode`] if the value is not what [`pack`] writes.
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
