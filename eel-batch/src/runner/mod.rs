//! State machine that runs the items of one claimed chunk.
//!
//! The holder of the claim passes in [`Event`]s and carries out the returned [`Action`]s. Nothing is sent, marked or
//! committed once the holder's lease may have expired by its own clock.

mod commit;
mod drain;
mod event;
mod slot;

use std::collections::{BTreeSet, VecDeque};

use eel_types::Attempt;
use eel_verdict::{Reason, Refusal, Verdict};

use crate::{
    Done, History, ItemError, ItemIndex, ItemResult, Outcome, PartIndex, Response, WindowIndex,
};
pub use event::{Action, ClaimedChunk, DrainReason, Event, Part, Policy};
use slot::{ItemState, RetryDecision, Slot};

/// Decides when the items of one claimed chunk are marked, sent, retried and committed.
#[derive(Clone, Debug)]
pub struct Runner {
    policy: Policy,
    claimed: ClaimedChunk,
    phase: Phase,
    slots: Vec<Slot>,
    /// Items that may be sent now.
    ready: VecDeque<ItemIndex>,
    /// Items in backoff, with the time at which it ends.
    delayed: BTreeSet<(u64, ItemIndex)>,
    /// Items of a non-repeatable job without a durable started mark.
    unmarked: VecDeque<ItemIndex>,
    /// The window whose mark is being written.
    marking: Option<Vec<ItemIndex>>,
    next_window: WindowIndex,
    in_flight: u32,
    /// Results that are not committed yet, oldest first.
    pending: VecDeque<ItemResult>,
    pending_bytes: usize,
    /// Whether the commit in progress is the last one; `None` if none is in progress.
    committing: Option<bool>,
    next_part: PartIndex,
    last_commit_ms: u64,
    ended: usize,
    failed: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    Draining(DrainReason),
    Finished,
    Lost,
}

impl Runner {
    /// Creates the runner of a chunk that was just claimed.
    ///
    /// A marked item of a non-repeatable job that has no result ends as may-have-run and is never sent again.
    #[must_use]
    pub fn new(now_ms: u64, claimed: ClaimedChunk, policy: Policy) -> Self {
        let mut runner = Self {
            policy,
            phase: Phase::Running,
            slots: Vec::with_capacity(claimed.items as usize),
            ready: VecDeque::new(),
            delayed: BTreeSet::new(),
            unmarked: VecDeque::new(),
            marking: None,
            next_window: claimed.next_window,
            in_flight: 0,
            pending: VecDeque::new(),
            pending_bytes: 0,
            committing: None,
            next_part: claimed.next_part,
            last_commit_ms: now_ms,
            ended: 0,
            failed: claimed.failed,
            claimed,
        };
        for item in (0..runner.claimed.items).map(ItemIndex) {
            runner.add_item(item);
        }
        runner
    }

    /// Handles `event` at the monotonic time `now_ms`.
    pub fn on_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        if matches!(self.phase, Phase::Finished | Phase::Lost) {
            return Vec::new();
        }
        if let Event::LeaseRenewed { hold_until_ms } = event {
            // A lease that expired by this clock stays expired, even if the renewal succeeded.
            if now_ms < self.claimed.hold_until_ms {
                self.claimed.hold_until_ms = hold_until_ms;
            }
        }
        if now_ms >= self.claimed.hold_until_ms || matches!(event, Event::ClaimLost) {
            return self.lose_claim();
        }
        let mut actions = Vec::new();
        match event {
            Event::Tick | Event::LeaseRenewed { .. } | Event::ClaimLost => {}
            Event::CreditGranted { count } => self.send(now_ms, count, &mut actions),
            Event::Answered { item, response } => self.answered(now_ms, item, response),
            Event::Refused { item, refusal } => self.refused(now_ms, item, refusal),
            Event::Marked => self.marked(),
            Event::Committed => self.committed(now_ms),
            Event::Drain(drain) => self.start_drain(drain, &mut actions),
        }
        self.advance(now_ms, &mut actions);
        actions
    }

    /// Returns how many items could be sent now.
    #[must_use]
    pub fn ready(&self, now_ms: u64) -> usize {
        let due = self.delayed.iter().take_while(|(ms, _)| *ms <= now_ms);
        match self.phase {
            Phase::Running => self.ready.len() + due.count(),
            Phase::Draining(_) | Phase::Finished | Phase::Lost => 0,
        }
    }

    /// Returns the number of items that were sent and have not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns `true` once the chunk is done, released or lost, and the runner issues no more actions.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        matches!(self.phase, Phase::Finished | Phase::Lost)
    }

    /// Returns `true` if the runner stopped because its claim was lost or may have been.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.phase == Phase::Lost
    }

    fn add_item(&mut self, item: ItemIndex) {
        let repeatable = self.claimed.repeatable;
        let sent_before = repeatable && self.claimed.history.sent;
        let verdict = if sent_before {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        self.slots.push(Slot::new(verdict));
        let lost_mark = !repeatable && self.claimed.marked.contains(&item);
        let too_many_lost = self.claimed.history.lost_holders > self.policy.max_lost_holders;
        if self.claimed.settled.contains(&item) {
            self.slots[item.0 as usize].state = ItemState::Ended;
            self.ended += 1;
        } else if lost_mark || too_many_lost {
            let verdict = if lost_mark {
                Verdict::MayHaveRun
            } else {
                verdict
            };
            self.give_up(item, Reason::TargetFailed, verdict);
        } else if repeatable {
            self.ready.push_back(item);
        } else {
            self.unmarked.push_back(item);
        }
    }

    fn lose_claim(&mut self) -> Vec<Action> {
        self.phase = Phase::Lost;
        vec![Action::AbortAll]
    }

    fn send(&mut self, now_ms: u64, count: u32, actions: &mut Vec<Action>) {
        if self.phase != Phase::Running {
            return;
        }
        while let Some((not_before_ms, item)) = self.delayed.first().copied() {
            if not_before_ms > now_ms {
                break;
            }
            self.delayed.pop_first();
            self.ready.push_back(item);
        }
        let count = self.ready.len().min(count as usize);
        for item in self.ready.drain(..count) {
            let slot = &mut self.slots[item.0 as usize];
            slot.state = ItemState::InFlight;
            slot.sends += 1;
            self.in_flight += 1;
            let attempt = Attempt(slot.sends);
            actions.push(Action::Send { item, attempt });
        }
    }

    /// Marks `item` as no longer in flight. Returns `false` if it was not in flight, so that a late event is ignored.
    fn clear_in_flight(&mut self, item: ItemIndex) -> bool {
        let Some(slot) = self.slots.get_mut(item.0 as usize) else {
            return false;
        };
        if slot.state != ItemState::InFlight {
            return false;
        }
        slot.state = ItemState::Waiting;
        self.in_flight -= 1;
        true
    }

    fn answered(&mut self, now_ms: u64, item: ItemIndex, response: Response) {
        if !self.clear_in_flight(item) {
            return;
        }
        let slot = &mut self.slots[item.0 as usize];
        slot.verdict = Verdict::Ran;
        let failed = response.status_code == 429 || response.status_code >= 500;
        let retry = failed && self.claimed.repeatable && self.phase == Phase::Running;
        if retry && slot.count_attempt(&self.policy) {
            self.delay(now_ms, item, None);
        } else {
            self.end(item, Outcome::Response(response));
        }
    }

    fn refused(&mut self, now_ms: u64, item: ItemIndex, refusal: Refusal) {
        if !self.clear_in_flight(item) {
            return;
        }
        let slot = &mut self.slots[item.0 as usize];
        match slot.refused(refusal, self.claimed.repeatable, &self.policy) {
            RetryDecision::Retry => self.delay(now_ms, item, refusal.retry_after_ms),
            RetryDecision::GiveUp => {
                let verdict = slot.verdict;
                self.give_up(item, refusal.reason, verdict);
            }
        }
    }

    fn delay(&mut self, now_ms: u64, item: ItemIndex, retry_after_ms: Option<u64>) {
        let backoff_ms = self.slots[item.0 as usize].backoff_ms(&self.policy);
        let wait_ms = backoff_ms.max(retry_after_ms.unwrap_or(0).min(self.policy.max_backoff_ms));
        self.delayed.insert((now_ms + wait_ms, item));
    }

    fn give_up(&mut self, item: ItemIndex, reason: Reason, verdict: Verdict) {
        let attempts = self.slots[item.0 as usize].sends;
        self.failed += 1;
        let error = ItemError {
            reason,
            verdict,
            attempts,
        };
        self.end(item, Outcome::Error(error));
    }

    fn end(&mut self, item: ItemIndex, outcome: Outcome) {
        self.slots[item.0 as usize].state = ItemState::Ended;
        let result = ItemResult { item, outcome };
        self.pending_bytes += result.size_bytes();
        self.pending.push_back(result);
        self.ended += 1;
    }

    fn is_ended(&self) -> bool {
        self.ended == self.slots.len()
    }
}
