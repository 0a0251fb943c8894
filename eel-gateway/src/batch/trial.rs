//! Trials of blocked items: a block that only items meet must end without online requests.

use std::sync::Arc;

use eel_ledger::{Item, ItemRef, Job};
use eel_types::Name;

use super::{
    item::suspects_of,
    worker::{State, Worker},
};
use crate::quarantine::{self, Admission, Suspects};

impl Worker {
    /// Starts the trial of one of the blocked items of `jobs`, if it is time for one and none is about to start.
    pub(super) fn start_trial<'a>(
        self: &Arc<Self>,
        state: &mut State,
        jobs: impl IntoIterator<Item = (&'a Name, &'a Job)>,
    ) {
        if state.is_admitting_trial {
            return;
        }
        if let Some((item, suspects)) = self.item_to_try(state, jobs) {
            state.is_admitting_trial = true;
            tokio::spawn(self.clone().try_item(item, suspects));
        }
    }

    /// Returns the first item that is blocked and may be tried now.
    fn item_to_try<'a>(
        &self,
        state: &State,
        jobs: impl IntoIterator<Item = (&'a Name, &'a Job)>,
    ) -> Option<(ItemRef, Suspects)> {
        let is_due = |item: &Item| quarantine::is_trial_due(&self.context, &suspects_of(item));
        jobs.into_iter().find_map(|(id, job)| {
            let item = state.worklist.next(id, job, is_due)?;
            let suspects = suspects_of(job.items().get(item.item as usize)?);
            Some((item, suspects))
        })
    }

    /// Runs a blocked item as the trial of what blocks it, if no other trial of it has started and a slot is idle.
    async fn try_item(self: Arc<Self>, item: ItemRef, suspects: Suspects) {
        let admission = quarantine::admit(&self.context, &suspects).await;
        let ledger = self.context.ledger();
        let mut state = self.lock();
        state.is_admitting_trial = false;
        let Admission::Trial(trial) = admission else {
            return;
        };
        let job = ledger.job(&item.job).filter(|it| it.is_open());
        let is_waiting = job.is_some_and(|it| state.worklist.is_waiting(it, &item));
        if is_waiting
            && self.context.takes_batch()
            && let Some(started) = self.start(&mut state, &ledger, &item, Some(trial))
        {
            tokio::spawn(started);
        }
    }
}
