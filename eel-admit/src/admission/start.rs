//! Starts queued requests: urgent before interactive before batch, and preempts batch for online requests.

use super::{Admission, Deadline, Phase};
use crate::{Action, queue::Ticket};

impl Admission {
    /// Starts queued requests while slots are free, and preempts batch items that exceed the slots.
    pub(super) fn start_waiting(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.preempt_for_online(self.running_online, actions);
        while self.running_online < self.limits.slots() {
            let Some(ticket) = self.urgent.pop().or_else(|| self.interactive.pop()) else {
                break;
            };
            self.preempt_for_online(self.running_online + 1, actions);
            self.running_online += 1;
            self.start(now_ms, ticket, actions);
        }
        while now_ms >= self.batch_from_ms && self.free_batch_slots(now_ms) > 0 {
            let Some(ticket) = self.batch.pop() else {
                break;
            };
            self.batch_from_ms = now_ms + self.batch_start_gap_ms();
            self.running_batch.push(ticket);
            self.start(now_ms, ticket, actions);
        }
        let running_batch = super::count(self.running_batch.len());
        self.limits
            .record_running(self.running_online, running_batch);
    }

    /// Returns the minimum time between the starts of two batch items. The gap spreads the cost of their prompts over
    /// the engine's steps. Items start at up to twice the rate at which they end, so that the gap leaves no slot idle.
    fn batch_start_gap_ms(&self) -> u64 {
        let item_ms = self.batch_slot_time.serve_ms(1, self.limits.slots());
        self.options.batch_start_gap_ms.min(item_ms / 2)
    }

    /// Returns how many more batch items may start now.
    pub(super) fn free_batch_slots(&self, now_ms: u64) -> u32 {
        if self.draining || self.queued_online() > 0 {
            return 0;
        }
        let running_batch = super::count(self.running_batch.len());
        let batch_room = self.limits.batch().saturating_sub(running_batch);
        let busy = self.running_online + running_batch + self.preempting;
        let idle = self.limits.slots().saturating_sub(busy);
        idle.saturating_sub(self.reserve(now_ms)).min(batch_room)
    }

    /// Returns the number of slots reserved for the next online burst.
    fn reserve(&self, now_ms: u64) -> u32 {
        let options = &self.options;
        let largest = (self.limits.slots() * options.reserve_percent).div_ceil(100);
        self.bursts
            .size(now_ms, options.burst_half_life_ms)
            .min(largest)
    }

    fn start(&mut self, now_ms: u64, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(ticket) else {
            return;
        };
        request.phase = Phase::Running { since_ms: now_ms };
        self.deadlines.remove(&Deadline {
            at_ms: request.drop_at_ms,
            ticket,
        });
        request.drop_at_ms = request.deadline_ms;
        self.deadlines.insert(Deadline {
            at_ms: request.drop_at_ms,
            ticket,
        });
        actions.push(Action::Start(request.key));
    }

    /// Preempts the most recently started repeatable batch items until the rest and `online` requests fit in the slots.
    ///
    /// An item that is not repeatable keeps running; the online request then starts beside it and exceeds the limit.
    fn preempt_for_online(&mut self, online: u32, actions: &mut Vec<Action>) {
        let slots = self.limits.slots();
        while online + super::count(self.running_batch.len()) > slots {
            let Some(index) = self.youngest_preemptible() else {
                return;
            };
            let ticket = self.running_batch.remove(index);
            self.preempt(ticket, actions);
        }
    }

    fn youngest_preemptible(&self) -> Option<usize> {
        self.running_batch.iter().rposition(|ticket| {
            let request = self.requests.get(*ticket);
            request.is_some_and(|request| request.repeatable)
        })
    }

    fn preempt(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(ticket) else {
            return;
        };
        let (Phase::Running { since_ms } | Phase::Cancelling { since_ms }) = request.phase else {
            return;
        };
        request.phase = Phase::Preempting { since_ms };
        self.preempting += 1;
        actions.push(Action::Preempt(request.key));
    }
}
