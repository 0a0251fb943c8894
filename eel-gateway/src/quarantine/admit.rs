//! Decides whether a request may be sent to targets.

use std::sync::Arc;

use eel_quarantine::{Check, RecordUpdate, Scope, TrialEnd};
use eel_store::{Compare, KeyValue as _, Op, Txn};
use eel_types::Revision;

use super::{Suspects, crashes::name_of, records};
use crate::context::{Context, now_unix_ms};

/// Whether a request may be sent to targets.
#[derive(Debug)]
pub(crate) enum Admission {
    /// It may, as often as its route allows.
    Pass,
    /// It may be sent to one target, as the trial of all that blocks it.
    Trial(Trial),
    /// It must not be sent to any target.
    Block,
}

/// A trial that runs at this node; dropping it ends the trial.
pub(crate) struct Trial {
    context: Arc<Context>,
    sets: Vec<(Scope, u64)>,
    /// How the trial ends if neither a crash nor a response decides it.
    end: TrialEnd,
}

impl Trial {
    /// Sets how the trial ends if neither a crash nor a response decides it.
    pub(crate) fn set_end(&mut self, end: TrialEnd) {
        self.end = end;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        for &(scope, id) in &self.sets {
            self.context.quarantine(scope).on_trial_ended(id, self.end);
        }
    }
}

impl std::fmt::Debug for Trial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Trial")
            .field("sets", &self.sets)
            .finish_non_exhaustive()
    }
}

/// Decides on a request that has arrived. A trial needs a write to the store, so that only one node starts it.
pub(crate) async fn admit(context: &Arc<Context>, suspects: &Suspects) -> Admission {
    match due_trial(context, suspects) {
        None => Admission::Block,
        Some(updates) if updates.is_empty() => Admission::Pass,
        Some(updates) => begin_trial(context, &updates)
            .await
            .map_or(Admission::Block, Admission::Trial),
    }
}

/// Returns whether a request must not be sent to targets, whether or not a trial is due.
pub(crate) fn blocks(context: &Context, suspects: &Suspects) -> bool {
    let mut scopes = Scope::ALL.into_iter();
    scopes.any(|scope| context.quarantine(scope).blocks(suspects.of(scope)))
}

/// Returns whether a request is blocked and may be tried now.
pub(crate) fn is_trial_due(context: &Context, suspects: &Suspects) -> bool {
    due_trial(context, suspects).is_some_and(|updates| !updates.is_empty())
}

/// Returns the records that a trial of a request has to change, none if the request is not blocked; `None` if it must not
/// be tried now.
fn due_trial(context: &Context, suspects: &Suspects) -> Option<Vec<(Scope, RecordUpdate)>> {
    let mut updates = Vec::new();
    for scope in Scope::ALL {
        let quarantine = context.quarantine(scope);
        match quarantine.check(now_unix_ms(), suspects.of(scope)) {
            Check::Pass => {}
            Check::Trial(due) => updates.extend(due.into_iter().map(|it| (scope, it))),
            Check::Block => return None,
        }
    }
    Some(updates)
}

/// Stores and starts a trial; `None` if another node was faster or the store cannot be reached.
async fn begin_trial(context: &Arc<Context>, updates: &[(Scope, RecordUpdate)]) -> Option<Trial> {
    let mut txn = Txn::default();
    for (scope, update) in updates {
        let (compare, put) = to_write(context, *scope, update);
        txn.compares.push(compare);
        txn.success.push(put);
    }
    let outcome = context.store.commit(&txn).await;
    let outcome = outcome
        .inspect_err(|error| {
            context.on_store_failure(
                "begin a trial of a blocked request",
                error.current_context(),
            );
        })
        .ok()?;
    if !outcome.succeeded {
        return None;
    }
    let now_ms = context.clock.now_ms();
    let sets = updates.iter().map(|(scope, update)| {
        let record = &update.record;
        context
            .quarantine(*scope)
            .on_trial_started(now_ms, record, outcome.revision.0);
        log::info!(target: "quarantine", scope = name_of(*scope), parts:% = record.parts, trials = record.trials; "A blocked request is tried.");
        (*scope, record.parts.id())
    });
    Some(Trial {
        sets: sets.collect(),
        context: context.clone(),
        end: TrialEnd::Inconclusive,
    })
}

/// Returns the condition and the write of a change to a record.
pub(super) fn to_write(context: &Context, scope: Scope, update: &RecordUpdate) -> (Compare, Op) {
    let key = records::key(context, scope, update.record.parts.id());
    let compare = Compare::ModRevision {
        key: key.clone(),
        revision: Revision(update.revision),
    };
    (compare, Op::put(key, update.record.encode()))
}
