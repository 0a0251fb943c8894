//! Decides whether a request may be sent to targets.

use eel_quarantine::{Check, Prompt, Trial};
use eel_store::{Compare, KeyValue as _, Op, Txn};
use eel_types::Revision;

use super::records;
use crate::context::{Context, now_unix_ms};

/// Whether a request may be sent to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may, as often as its route allows.
    Pass,
    /// It may be sent to one target, as the trial of a blocked part.
    Trial,
    /// It must not be sent to any target.
    Block,
}

/// Decides on a request that has arrived. A trial needs a write to the store, so that only one node starts it.
pub(crate) async fn admit(context: &Context, prompt: &Prompt) -> Admission {
    let check = context.quarantine().check(now_unix_ms(), prompt);
    match check {
        Check::Pass => Admission::Pass,
        Check::Block => Admission::Block,
        Check::Trial(trial) => begin_trial(context, &trial).await,
    }
}

async fn begin_trial(context: &Context, trial: &Trial) -> Admission {
    let key = records::key(context, trial.record.parts.id());
    let txn = Txn {
        compares: vec![Compare::ModRevision {
            key: key.clone(),
            revision: Revision(trial.revision),
        }],
        success: vec![Op::put(key, trial.record.encode())],
        ..Txn::default()
    };
    match context.store.commit(&txn).await {
        Ok(outcome) if outcome.succeeded => {
            let now_ms = context.clock.now_ms();
            context
                .quarantine()
                .on_stored(now_ms, &trial.record, outcome.revision.0);
            log::info!(target: "quarantine", parts:% = trial.record.parts; "A request with blocked parts is tried.");
            Admission::Trial
        }
        Ok(_) => Admission::Block,
        Err(error) => {
            context.on_store_failure("begin a trial of blocked parts", error.current_context());
            Admission::Block
        }
    }
}
