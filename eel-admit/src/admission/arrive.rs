//! Handles arriving requests: refuses or queues them.

use eel_types::Class;
use eel_verdict::{Reason, Refusal};

use super::{Admission, Deadline, Phase, Request};
use crate::{Action, Arrival, RequestKey, history::FinalState, queue::Ticket};

/// The minimum retry-after time of a refusal.
const MIN_RETRY_AFTER_MS: u64 = 50;
/// The maximum retry-after time of a refusal.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

impl Admission {
    pub(super) fn arrive(&mut self, now_ms: u64, arrival: Arrival, actions: &mut Vec<Action>) {
        if let Some(refusal) = self.refuse_duplicate(arrival.key) {
            actions.push(Action::RefuseDuplicate(arrival.key, refusal));
            return;
        }
        if arrival.class.is_online() {
            let options = &self.options;
            self.bursts
                .arrived(now_ms, options.burst_window_ms, options.burst_half_life_ms);
        }
        if let Some(refusal) = self.refuse_arrival(now_ms, &arrival, actions) {
            self.history
                .record(now_ms, arrival.key, FinalState::Refused);
            actions.push(Action::Refuse(arrival.key, refusal));
            return;
        }
        self.enqueue(now_ms, arrival);
    }

    /// Returns the refusal of an attempt that arrived or was barred before.
    fn refuse_duplicate(&self, key: RequestKey) -> Option<Refusal> {
        if self.tickets.contains_key(&key) {
            return Some(Refusal::may_have_run(Reason::Conflict));
        }
        match self.history.get(key)? {
            FinalState::Finished | FinalState::BarredUnknown => {
                Some(Refusal::may_have_run(Reason::Conflict))
            }
            FinalState::Refused | FinalState::Barred => Some(Refusal::not_run(Reason::Conflict)),
        }
    }

    fn refuse_arrival(
        &mut self,
        now_ms: u64,
        arrival: &Arrival,
        actions: &mut Vec<Action>,
    ) -> Option<Refusal> {
        if self.links.usable(arrival.link).is_none() {
            return Some(Refusal::not_run(Reason::TargetFailed));
        }
        if self.draining {
            return Some(Refusal::not_run(Reason::Leaving));
        }
        if arrival.deadline_ms <= now_ms {
            return Some(Refusal::not_run(Reason::DeadlineExceeded));
        }
        match arrival.class {
            Class::Batch => self.refuse_batch(now_ms, arrival),
            Class::Urgent | Class::Interactive => self.refuse_online(now_ms, arrival, actions),
        }
    }

    fn refuse_batch(&mut self, now_ms: u64, arrival: &Arrival) -> Option<Refusal> {
        let has_credit = self.use_credit(now_ms, arrival.link);
        if has_credit && self.batch_room(now_ms) > 0 {
            return None;
        }
        let retry_after_ms = retry_after_ms(self.batch_slot_time.serve_ms(1, self.limits.slots()));
        Some(Refusal::not_run(Reason::Overloaded).retry_after(retry_after_ms))
    }

    fn refuse_online(
        &mut self,
        now_ms: u64,
        arrival: &Arrival,
        actions: &mut Vec<Action>,
    ) -> Option<Refusal> {
        let wait_ms = self.expected_wait_of(arrival);
        if now_ms.saturating_add(wait_ms) >= arrival.deadline_ms {
            return Some(self.overloaded());
        }
        let has_free_slot = self.running_online < self.limits.slots() && self.queued_online() == 0;
        if has_free_slot || self.queued_online() < self.limits.queue() {
            return None;
        }
        if !self.displace(now_ms, arrival, actions) {
            return Some(self.overloaded());
        }
        None
    }

    /// Makes room in a full queue by refusing a queued request of lower priority, or of a caller with more queued
    /// requests.
    fn displace(&mut self, now_ms: u64, arrival: &Arrival, actions: &mut Vec<Action>) -> bool {
        let Some(victim) = self.displaceable(arrival) else {
            return false;
        };
        let refusal = self.overloaded();
        self.refuse_queued(now_ms, victim, refusal, actions);
        true
    }

    fn displaceable(&self, arrival: &Arrival) -> Option<Ticket> {
        let same_class = match arrival.class {
            Class::Urgent if !self.interactive.is_empty() => {
                return self.interactive.last_of_longest();
            }
            Class::Urgent => &self.urgent,
            Class::Interactive | Class::Batch => &self.interactive,
        };
        let victim = same_class.last_of_longest()?;
        let holder = &self.requests.get(victim)?.caller;
        let is_fairer = same_class.waiting_of(&arrival.caller) + 1 < same_class.waiting_of(holder);
        is_fairer.then_some(victim)
    }

    fn expected_wait_of(&self, arrival: &Arrival) -> u64 {
        let slots = self.limits.slots();
        if self.running_online < slots && self.queued_online() == 0 {
            return 0;
        }
        let ahead = match arrival.class {
            Class::Urgent => self.urgent.ahead_of(&arrival.caller),
            Class::Interactive | Class::Batch => {
                self.urgent.len() + self.interactive.ahead_of(&arrival.caller)
            }
        };
        self.online_slot_time.serve_ms(ahead + 1, slots)
    }

    fn overloaded(&self) -> Refusal {
        let slots = self.limits.slots();
        let backlog_ms = self
            .online_slot_time
            .serve_ms(self.queued_online() + 1, slots);
        Refusal::not_run(Reason::Overloaded).retry_after(retry_after_ms(backlog_ms))
    }

    fn enqueue(&mut self, now_ms: u64, arrival: Arrival) {
        let latest_ms = now_ms.saturating_add(self.options.retention_ms);
        let deadline_ms = arrival.deadline_ms.min(latest_ms);
        let drop_at_ms = match arrival.class {
            Class::Batch => deadline_ms.min(now_ms.saturating_add(self.options.credit_valid_ms)),
            Class::Urgent | Class::Interactive => deadline_ms,
        };
        let caller = arrival.caller.clone();
        let ticket = self.requests.insert(Request {
            key: arrival.key,
            link: arrival.link,
            caller: arrival.caller,
            class: arrival.class,
            deadline_ms,
            drop_at_ms,
            repeatable: arrival.repeatable,
            phase: Phase::Queued,
        });
        self.tickets.insert(arrival.key, ticket);
        self.deadlines.insert(Deadline {
            at_ms: drop_at_ms,
            ticket,
        });
        self.queue_of(arrival.class).push(&caller, ticket);
    }
}

/// Returns the retry-after time of a refusal: half the time that serving the backlog takes, within bounds.
fn retry_after_ms(backlog_ms: u64) -> u64 {
    (backlog_ms / 2).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}
