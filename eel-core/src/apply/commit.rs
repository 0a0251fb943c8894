//! Commits transactions one after the other; the outcome of each is known before the next is sent.

use eel_record::RecordKey;
use eel_store::{CommitOutcome, KeyValue, commit_and_resolve};
use eel_types::Revision;

use super::{ApplyStatus, is_without_effect, transaction::PlannedTxn};

/// The records that were certainly written, and the revision of the last write.
#[derive(Default)]
pub struct Written {
    pub revision: Option<Revision>,
    pub keys: Vec<RecordKey>,
}

/// Commits `txns` in order; stops at the first that does not certainly take effect.
pub async fn run<S: KeyValue>(store: &S, txns: &[PlannedTxn]) -> (ApplyStatus, Written) {
    let mut written = Written::default();
    for planned in txns {
        let status = commit_one(store, planned, &mut written).await;
        let Some(status) = status else {
            continue;
        };
        let status = match status {
            ApplyStatus::Conflict | ApplyStatus::NotWritten if !written.keys.is_empty() => {
                ApplyStatus::Partial
            }
            status => status,
        };
        return (status, written);
    }
    (ApplyStatus::Applied, written)
}

/// Commits one transaction; returns `None` if it took effect, otherwise the status that ends the apply.
async fn commit_one<S: KeyValue>(
    store: &S,
    planned: &PlannedTxn,
    written: &mut Written,
) -> Option<ApplyStatus> {
    let token = planned.token.as_ref()?;
    match commit_and_resolve(store, &planned.txn, token).await {
        Ok(CommitOutcome::Applied { revision }) => {
            written.revision = Some(revision);
            written.keys.extend(planned.keys.iter().cloned());
            None
        }
        Ok(CommitOutcome::NotApplied { .. }) => Some(ApplyStatus::Conflict),
        Ok(CommitOutcome::Unknown) => Some(ApplyStatus::Unknown),
        Err(report) => {
            log::warn!("apply: Cannot commit a transaction: {report}.");
            let is_certain = is_without_effect(*report.current_context());
            Some(if is_certain {
                ApplyStatus::NotWritten
            } else {
                ApplyStatus::Unknown
            })
        }
    }
}
