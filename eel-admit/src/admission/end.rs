//! Handles requests that end: finished, cancelled, settled, expired or abandoned with their link.

use eel_types::Class;
use eel_verdict::{Reason, Refusal};

use super::{Admission, Deadline, Phase, Request};
use crate::{Action, Finish, LinkKey, RequestKey, Settlement, history::FinalState, queue::Ticket};

impl Admission {
    pub(super) fn finish(&mut self, now_ms: u64, finish: &Finish) {
        let Some(ticket) = self.tickets.get(&finish.key).copied() else {
            return;
        };
        let Some(since_ms) = self.started_at_ms(ticket) else {
            return;
        };
        let held_ms = now_ms.saturating_sub(since_ms);
        let Some(request) = self.forget(now_ms, ticket, FinalState::Finished) else {
            return;
        };
        let was_cancelled = !matches!(request.phase, Phase::Running { .. });
        match request.class {
            Class::Urgent | Class::Interactive => {
                self.running_online = self.running_online.saturating_sub(1);
                self.online_slot_time.sample(held_ms);
                self.limits.sample(since_ms, finish);
            }
            Class::Batch if matches!(request.phase, Phase::Preempting { .. }) => {
                self.preempting = self.preempting.saturating_sub(1);
            }
            Class::Batch => {
                self.running_batch.retain(|other| *other != ticket);
                if !was_cancelled {
                    self.batch_slot_time.sample(held_ms);
                }
            }
        }
        if request.class == Class::Batch {
            self.request_credits(now_ms, request.link);
        }
    }

    pub(super) fn cancel(&mut self, now_ms: u64, key: RequestKey, actions: &mut Vec<Action>) {
        match self.tickets.get(&key).copied() {
            Some(ticket) if self.started_at_ms(ticket).is_some() => {
                self.cancel_running(ticket, actions);
            }
            Some(ticket) => {
                let refusal = Refusal::not_run(Reason::Cancelled);
                self.refuse_queued(now_ms, ticket, refusal, actions);
            }
            None if self.history.get(key).is_none() => {
                self.history.bar(now_ms, key);
            }
            None => {}
        }
    }

    /// Replies to [`Event::Settle`](crate::Event::Settle): refuses a queued request, bars an unknown one, and cancels a
    /// running one that is repeatable, since another attempt may follow.
    pub(super) fn settle(&mut self, now_ms: u64, key: RequestKey, actions: &mut Vec<Action>) {
        let settlement = match self.tickets.get(&key).copied() {
            Some(ticket) if self.started_at_ms(ticket).is_some() => {
                self.cancel_repeatable(ticket, actions);
                Settlement::Started { finished: false }
            }
            Some(ticket) => {
                let refusal = Refusal::not_run(Reason::Cancelled);
                self.refuse_queued(now_ms, ticket, refusal, actions);
                Settlement::NeverStarted
            }
            None => self.settle_ended(now_ms, key),
        };
        actions.push(Action::Settled(key, settlement));
    }

    fn settle_ended(&mut self, now_ms: u64, key: RequestKey) -> Settlement {
        match self.history.get(key) {
            Some(FinalState::Finished) => Settlement::Started { finished: true },
            Some(FinalState::Refused | FinalState::Barred) => Settlement::NeverStarted,
            Some(FinalState::BarredUnknown) => Settlement::Unknown,
            None => self.history.bar(now_ms, key),
        }
    }

    pub(super) fn close_link(&mut self, now_ms: u64, link: LinkKey, actions: &mut Vec<Action>) {
        self.links.close(now_ms, link, self.options.retention_ms);
        self.credit_holders.retain(|holder| *holder != link);
        self.credit_requesters
            .retain(|requester| *requester != link);
        self.abandon_link(now_ms, link, actions);
    }

    /// Refuses queued requests of a link that can deliver no response, and cancels its running repeatable ones.
    pub(super) fn abandon_link(&mut self, now_ms: u64, link: LinkKey, actions: &mut Vec<Action>) {
        let of_link = self
            .requests
            .iter()
            .filter(|(_, request)| request.link == link);
        let tickets: Vec<Ticket> = of_link.map(|(ticket, _)| ticket).collect();
        for ticket in tickets {
            if self.started_at_ms(ticket).is_some() {
                self.cancel_repeatable(ticket, actions);
            } else {
                let refusal = Refusal::not_run(Reason::TargetFailed);
                self.refuse_queued(now_ms, ticket, refusal, actions);
            }
        }
    }

    /// Refuses new requests and queued batch items from now on; queued online requests are still served.
    pub(super) fn start_drain(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.draining = true;
        while let Some(ticket) = self.batch.pop() {
            self.refuse_queued(now_ms, ticket, Refusal::not_run(Reason::Leaving), actions);
        }
    }

    /// Refuses requests that were queued for too long and cancels those that run past their deadline.
    pub(super) fn expire(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some(deadline) = self.deadlines.first().copied() {
            if deadline.at_ms > now_ms {
                break;
            }
            self.deadlines.remove(&deadline);
            if self.started_at_ms(deadline.ticket).is_some() {
                self.cancel_running(deadline.ticket, actions);
            } else {
                self.refuse_expired(now_ms, deadline.ticket, actions);
            }
        }
    }

    fn refuse_expired(&mut self, now_ms: u64, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let refusal = if request.deadline_ms <= now_ms {
            Refusal::not_run(Reason::DeadlineExceeded)
        } else {
            Refusal::not_run(Reason::Overloaded).retry_after(self.options.credit_valid_ms)
        };
        self.refuse_queued(now_ms, ticket, refusal, actions);
    }

    pub(super) fn refuse_queued(
        &mut self,
        now_ms: u64,
        ticket: Ticket,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.forget(now_ms, ticket, FinalState::Refused) {
            self.queue_of(request.class).remove(&request.caller, ticket);
            actions.push(Action::Refuse(request.key, refusal));
        }
    }

    fn cancel_repeatable(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        let request = self.requests.get(ticket);
        if request.is_some_and(|request| request.repeatable) {
            self.cancel_running(ticket, actions);
        }
    }

    fn cancel_running(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(ticket) else {
            return;
        };
        if let Phase::Running { since_ms } = request.phase {
            request.phase = Phase::Cancelling { since_ms };
            actions.push(Action::Cancel(request.key));
        }
    }

    fn started_at_ms(&self, ticket: Ticket) -> Option<u64> {
        match self.requests.get(ticket)?.phase {
            Phase::Queued => None,
            Phase::Running { since_ms }
            | Phase::Cancelling { since_ms }
            | Phase::Preempting { since_ms } => Some(since_ms),
        }
    }

    fn forget(&mut self, now_ms: u64, ticket: Ticket, final_state: FinalState) -> Option<Request> {
        let request = self.requests.remove(ticket)?;
        self.tickets.remove(&request.key);
        self.deadlines.remove(&Deadline {
            at_ms: request.drop_at_ms,
            ticket,
        });
        self.history.record(now_ms, request.key, final_state);
        Some(request)
    }
}
