//! Decides whether a request may be sent to targets.

use eel_quarantine::{Check, Scope, Trial};
use eel_store::{Compare, KeyValue as _, Op, Txn};
use eel_types::Revision;

use super::{Suspects, crashes::name_of, records};
use crate::context::{Context, now_unix_ms};

/// Whether a request may be sent to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may, as often as its route allows.
    Pass,
    /// It may be sent to one target, as the trial of what is blocked.
    Trial,
    /// It must not be sent to any target.
    Block,
}

/// Decides on a request that has arrived. A trial needs a write to the store, so that only one node starts it.
pub(crate) async fn admit(context: &Context, suspects: &Suspects) -> Admission {
    let mut due = None;
    for scope in Scope::ALL {
        let check = context
            .quarantine(scope)
            .check(now_unix_ms(), suspects.of(scope));
        match check {
            Check::Pass => {}
            // A request that is blocked twice would say nothing about either block.
            Check::Trial(trial) if due.is_none() => due = Some((scope, trial)),
            Check::Trial(_) | Check::Block => return Admission::Block,
        }
    }
    match due {
        None => Admission::Pass,
        Some((scope, trial)) => begin_trial(context, scope, &trial).await,
    }
}

/// Returns whether a request must not be sent to targets, whether or not a trial is due.
pub(crate) fn blocks(context: &Context, suspects: &Suspects) -> bool {
    let mut scopes = Scope::ALL.into_iter();
    scopes.any(|scope| context.quarantine(scope).blocks(suspects.of(scope)))
}

async fn begin_trial(context: &Context, scope: Scope, trial: &Trial) -> Admission {
    let key = records::key(context, scope, trial.record.parts.id());
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
                .quarantine(scope)
                .on_stored(now_ms, &trial.record, outcome.revision.0);
            log::info!(target: "quarantine", scope = name_of(scope), parts:% = trial.record.parts; "A blocked request is tried.");
            Admission::Trial
        }
        Ok(_) => Admission::Block,
        Err(error) => {
            context.on_store_failure(
                "begin a trial of a blocked request",
                error.current_context(),
            );
            Admission::Block
        }
    }
}
