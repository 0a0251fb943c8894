//! Trials of blocked items: a block that only items meet must end without online requests.

use std::sync::Arc;

use eel_fleet::stable_hash;
use eel_ledger::{ItemQueues, ItemRef, Job};
use eel_quarantine::Scope;
use eel_types::Name;

use super::{
    destinations::Destinations,
    item::suspects_of,
    start::Start,
    worker::{State, Worker},
};
use crate::{
    quarantine::{self, Admission, Suspects},
    slots::SlotGuard,
};

/// A blocked item that may be tried, and the slot that it has got.
struct Candidate {
    item: ItemRef,
    suspects: Suspects,
    slot: SlotGuard,
}

impl Worker {
    /// Starts the trial of one of the blocked items of `jobs`, if it is time for one and none is about to start.
    ///
    /// It comes before the other items, which would leave it no slot.
    pub(super) fn start_trial(
        self: &Arc<Self>,
        state: &mut State,
        destinations: &Destinations,
        jobs: &[(&Name, &Job)],
    ) {
        if state.is_admitting_trial || self.context.quarantine(Scope::Parts).is_empty() {
            return;
        }
        if let Some(candidate) = self.item_to_try(state, destinations, jobs) {
            state.is_admitting_trial = true;
            tokio::spawn(self.clone().try_item(candidate));
        }
    }

    /// Returns the first item that is blocked, may be tried now, and finds a slot.
    fn item_to_try(
        &self,
        state: &State,
        destinations: &Destinations,
        jobs: &[(&Name, &Job)],
    ) -> Option<Candidate> {
        for &(id, job) in jobs {
            let queues = destinations.queues(id).into_iter();
            for (service, indices) in queues.flat_map(ItemQueues::iter) {
                for index in indices {
                    let Some((item, entry)) = state.worklist.waiting(id, job, index) else {
                        continue;
                    };
                    let suspects = suspects_of(entry);
                    if !quarantine::is_trial_due(&self.context, &suspects) {
                        continue;
                    }
                    let version = self.version_to_continue(state, &item, service);
                    let (slots, hash) = (&self.context.slots, stable_hash(&entry.id));
                    match slots.try_acquire_batch(service, version.as_ref(), hash) {
                        Some(slot) => {
                            return Some(Candidate {
                                item,
                                suspects,
                                slot,
                            });
                        }
                        // The service has no slot at all.
                        None if version.is_none() => break,
                        None => {}
                    }
                }
            }
        }
        None
    }

    /// Runs a blocked item as the trial of what blocks it, if no other trial of it has started.
    async fn try_item(self: Arc<Self>, candidate: Candidate) {
        let Candidate {
            item,
            suspects,
            slot,
        } = candidate;
        let admission = quarantine::admit(&self.context, &suspects).await;
        let ledger = self.context.ledger();
        let mut state = self.lock();
        state.is_admitting_trial = false;
        let Admission::Trial(trial) = admission else {
            return;
        };
        let job = ledger.job(&item.job).filter(|it| it.is_open());
        let (worklist, index) = (&state.worklist, item.item);
        if let Some(job) = job
            && let Some(head) = job.head()
            && let Some((item, entry)) = worklist.waiting(&item.job, job, index)
            && self.context.takes_batch()
        {
            let start = Start {
                item: &item,
                head,
                entry,
                slot,
                trial: Some(trial),
            };
            tokio::spawn(self.start(&mut state, start));
        }
    }
}
