//! Stops a runner on a cancel, at the deadline, or for a graceful shutdown.

use eel_verdict::{Reason, Verdict};

use super::{Action, DrainReason, History, ItemIndex, ItemState, Phase, Runner};

impl Runner {
    pub(super) fn start_drain(&mut self, drain: DrainReason, actions: &mut Vec<Action>) {
        let starts = match self.phase {
            Phase::Running => true,
            // A cancel or the deadline overrides a shutdown, but not the reverse.
            Phase::Draining(DrainReason::Leaving) => drain != DrainReason::Leaving,
            Phase::Draining(_) | Phase::Finished | Phase::Lost => false,
        };
        if !starts {
            return;
        }
        self.phase = Phase::Draining(drain);
        if drain != DrainReason::Leaving && self.in_flight > 0 {
            actions.push(Action::AbortAll);
        }
    }

    pub(super) fn check_deadline(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms >= self.claimed.deadline_ms {
            self.start_drain(DrainReason::Expired, actions);
        }
    }

    /// Gives up the items that will not be sent any more. A shutdown leaves them to the next holder.
    pub(super) fn drain(&mut self, drain: DrainReason) {
        let reason = match drain {
            DrainReason::Cancelled => Reason::Cancelled,
            DrainReason::Expired => Reason::DeadlineExceeded,
            DrainReason::Leaving => return,
        };
        if self.is_ended() {
            return;
        }
        self.ready.clear();
        self.delayed.clear();
        self.unmarked.clear();
        for index in 0..self.slots.len() {
            if self.slots[index].state == ItemState::Waiting {
                let verdict = self.slots[index].verdict;
                let item = u32::try_from(index).unwrap_or(u32::MAX);
                self.give_up(ItemIndex(item), reason, verdict);
            }
        }
    }

    /// Returns `true` if the process is shutting down and no item or mark is in flight.
    pub(super) fn is_drained(&self) -> bool {
        let leaving = self.phase == Phase::Draining(DrainReason::Leaving);
        leaving && self.in_flight == 0 && self.marking.is_none()
    }

    /// Releases the claim once every result is committed.
    pub(super) fn release_drained(&mut self, actions: &mut Vec<Action>) {
        let idle = self.committing.is_none() && self.pending.is_empty();
        if !self.is_drained() || !idle || self.is_ended() {
            return;
        }
        self.phase = Phase::Finished;
        let unsure = self
            .slots
            .iter()
            .any(|slot| slot.state == ItemState::Waiting && slot.verdict != Verdict::NotRun);
        let history = History {
            lost_holders: self.claimed.history.lost_holders,
            sent: self.claimed.history.sent || unsure,
        };
        actions.push(Action::Release { history });
    }
}
