//! Builds the transaction that accepts a job.

use bytes::Bytes;
use eel_store::{Compare, Op, Txn};
use error_stack::{Report, ResultExt as _};

use crate::{Item, JobHead, Keys};

/// The maximum size of one part of the encoded items.
const PART_BYTES: usize = 512 * 1024;
/// The maximum number of parts of one job: a transaction holds 32 entries, two of which are the head and its condition.
const MAX_PARTS: usize = 30;
/// The maximum size of the encoded items of one job.
pub const MAX_ITEMS_BYTES: usize = PART_BYTES * MAX_PARTS;

/// The reason why a job cannot be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The encoded items exceed [`MAX_ITEMS_BYTES`], or their number exceeds `u32`.
    #[error("the items are larger than {MAX_ITEMS_BYTES} bytes")]
    TooLarge,
    /// The head or the items cannot be encoded.
    #[error("cannot encode the job head or the items")]
    Encode,
}

/// Builds the transaction that accepts the job `id`. It writes nothing if the job was accepted before.
///
/// The fields `parts` and `items` of `head` are set from `items`.
///
/// # Errors
///
/// Returns [`SubmitError::TooLarge`] if the items do not fit in one transaction, and [`SubmitError::Encode`] if a value
/// cannot be encoded.
pub fn submission(
    keys: &Keys,
    id: &str,
    mut head: JobHead,
    items: &[Item],
) -> Result<Txn, Report<SubmitError>> {
    let encoded = Bytes::from(postcard::to_stdvec(items).change_context(SubmitError::Encode)?);
    if encoded.len() > MAX_ITEMS_BYTES {
        return Err(Report::new(SubmitError::TooLarge));
    }
    let parts: Vec<Bytes> = (0..encoded.len())
        .step_by(PART_BYTES)
        .map(|at| encoded.slice(at..encoded.len().min(at + PART_BYTES)))
        .collect();
    head.parts = u32::try_from(parts.len()).change_context(SubmitError::TooLarge)?;
    head.items = u32::try_from(items.len()).change_context(SubmitError::TooLarge)?;
    let head = head.encode().change_context(SubmitError::Encode)?;
    let mut writes = vec![Op::put(keys.head(id), head)];
    for (number, part) in (0..).zip(parts) {
        writes.push(Op::put(keys.part(id, number), part));
    }
    Ok(Txn {
        compares: vec![Compare::Absent { key: keys.head(id) }],
        success: writes,
        failure: Vec::new(),
    })
}
