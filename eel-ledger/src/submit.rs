//! The transaction that accepts a job.

use bytes::Bytes;
use eel_store::{Compare, Op, Txn};
use error_stack::{Report, ResultExt as _};

use crate::{Item, JobHead, Keys};

/// The most bytes of items that one value of the store takes.
const PART_BYTES: usize = 512 * 1024;
/// The most parts of one job: the store takes 32 entries in a transaction, two of which are the head and its condition.
const MAX_PARTS: usize = 30;
/// The most bytes that the items of one job may have, encoded.
pub const MAX_ITEM_BYTES: usize = PART_BYTES * MAX_PARTS;

/// Why a job cannot be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// Its items are larger than one transaction takes.
    #[error("the items are larger than {MAX_ITEM_BYTES} bytes")]
    TooLarge,
    /// Its items cannot be encoded.
    #[error("the items cannot be encoded")]
    Encode,
}

/// Builds the transaction that accepts the job `id`, and does nothing if it was accepted before.
///
/// `head.parts` and `head.items` are set here.
///
/// # Errors
///
/// [`SubmitError`] if the job does not fit.
pub fn submission(
    keys: &Keys,
    id: &str,
    mut head: JobHead,
    items: &[Item],
) -> Result<Txn, Report<SubmitError>> {
    let encoded = Bytes::from(postcard::to_stdvec(items).change_context(SubmitError::Encode)?);
    if encoded.len() > MAX_ITEM_BYTES {
        return Err(Report::new(SubmitError::TooLarge));
    }
    let parts: Vec<Bytes> = (0..encoded.len())
        .step_by(PART_BYTES)
        .map(|at| encoded.slice(at..encoded.len().min(at + PART_BYTES)))
        .collect();
    head.parts = u32::try_from(parts.len()).change_context(SubmitError::TooLarge)?;
    head.items = u32::try_from(items.len()).change_context(SubmitError::TooLarge)?;
    let head = postcard::to_stdvec(&head).change_context(SubmitError::Encode)?;
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
