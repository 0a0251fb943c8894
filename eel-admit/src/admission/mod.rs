//! The admission state machine of one target.

mod arrive;
mod credits;
mod end;
mod start;

use std::collections::{BTreeSet, HashMap, VecDeque};

use eel_types::{Class, LoadReport, Name};
use slotmap::SlotMap;

use crate::{
    Action, Event, LinkHello, LinkKey, Options, RequestKey,
    burst::BurstTracker,
    history::History,
    limits::ConcurrencyLimiter,
    link::Links,
    queue::{FairQueue, Ticket},
};

/// Decides which requests to one target are started, queued or refused.
///
/// Each event yields the actions to carry out, in order. Times are monotonic, in milliseconds since the process
/// started.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    limits: ConcurrencyLimiter,
    links: Links,
    history: History,
    bursts: BurstTracker,
    requests: SlotMap<Ticket, Request>,
    tickets: HashMap<RequestKey, Ticket>,
    deadlines: BTreeSet<Deadline>,
    urgent: FairQueue,
    interactive: FairQueue,
    batch: FairQueue,
    running_batch: Vec<Ticket>,
    running_online: u32,
    preempting: u32,
    /// The earliest time at which another batch item may start.
    batch_from_ms: u64,
    /// When the next queued batch item may start; `None` if none is queued or no slot is free for it.
    batch_due_ms: Option<u64>,
    online_slot_time: SlotTime,
    batch_slot_time: SlotTime,
    credit_holders: Vec<LinkKey>,
    credit_requesters: VecDeque<LinkKey>,
    draining: bool,
    drained: bool,
}

/// A queued or running request.
#[derive(Debug)]
struct Request {
    key: RequestKey,
    link: LinkKey,
    caller: Name,
    class: Class,
    deadline_ms: u64,
    /// When the request is refused or cancelled: at its deadline, or earlier for a queued batch item.
    drop_at_ms: u64,
    repeatable: bool,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    Running { since_ms: u64 },
    Cancelling { since_ms: u64 },
    Preempting { since_ms: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at_ms: u64,
    ticket: Ticket,
}

/// Exponential moving average of the time that requests occupy their slot, in sixteenths of a millisecond.
#[derive(Clone, Copy, Debug, Default)]
struct SlotTime {
    sixteenths_ms: u64,
}

impl SlotTime {
    fn sample(&mut self, held_ms: u64) {
        self.sixteenths_ms = match self.sixteenths_ms {
            0 => held_ms * 16,
            mean => mean - mean / 16 + held_ms,
        };
    }

    /// Estimates how long `slots` take to serve `requests`; 0 without a sample.
    fn serve_ms(self, requests: usize, slots: u32) -> u64 {
        let requests = u64::try_from(requests).unwrap_or(u64::MAX);
        self.sixteenths_ms.saturating_mul(requests) / 16 / u64::from(slots.max(1))
    }
}

impl Admission {
    /// Creates the state machine of one target.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            limits: ConcurrencyLimiter::new(options.limits),
            links: Links::default(),
            history: History::new(options.history, options.retention_ms),
            bursts: BurstTracker::default(),
            requests: SlotMap::with_key(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            urgent: FairQueue::default(),
            interactive: FairQueue::default(),
            batch: FairQueue::default(),
            running_batch: Vec::new(),
            running_online: 0,
            preempting: 0,
            batch_from_ms: 0,
            batch_due_ms: None,
            online_slot_time: SlotTime::default(),
            batch_slot_time: SlotTime::default(),
            credit_holders: Vec::new(),
            credit_requesters: VecDeque::new(),
            draining: false,
            drained: false,
            options,
        }
    }

    /// Opens a link and pushes the resulting actions into `actions`.
    ///
    /// If it supersedes older links of the same process, their queued requests are refused, their running repeatable
    /// ones are cancelled, and no request of theirs starts any more.
    pub fn open_link(
        &mut self,
        now_ms: u64,
        hello: LinkHello,
        actions: &mut Vec<Action>,
    ) -> LinkKey {
        let (key, fenced) = self.links.open(hello);
        for link in fenced {
            self.abandon_link(now_ms, link, actions);
        }
        self.advance(now_ms, actions);
        key
    }

    /// Handles `event` and pushes the actions to carry out into `actions`.
    pub fn on_event(&mut self, now_ms: u64, event: Event, actions: &mut Vec<Action>) {
        self.expire(now_ms, actions);
        match event {
            Event::LinkClosed(link) => self.close_link(now_ms, link, actions),
            Event::Arrived(arrival) => self.arrive(now_ms, arrival, actions),
            Event::Finished(finish) => self.finish(now_ms, &finish),
            Event::CancelRequested(key) => self.cancel(now_ms, key, actions),
            Event::Settle(key) => self.settle(now_ms, key, actions),
            Event::Configured(limits) => self.limits.configure(limits),
            Event::DrainStarted => self.start_drain(now_ms, actions),
            Event::Tick => {}
            Event::CreditsRequested(link) => self.request_credits(now_ms, link),
        }
        self.advance(now_ms, actions);
    }

    /// Returns when [`Event::Tick`] is due unless another event comes first; `None` if nothing is timed.
    #[must_use]
    pub fn next_deadline_ms(&self) -> Option<u64> {
        let deadline_ms = self.deadlines.first().map(|deadline| deadline.at_ms);
        deadline_ms.into_iter().chain(self.batch_due_ms).min()
    }

    /// Returns the current load, including the batch credits of `link`.
    #[must_use]
    pub fn report(&self, now_ms: u64, link: LinkKey) -> LoadReport {
        let batch_credits = self.links.credits(now_ms, link);
        let left_ms = self
            .links
            .credits_until_ms(link)
            .saturating_sub(now_ms)
            .min(self.options.credit_valid_ms);
        LoadReport {
            slots: self.limits.slots(),
            running_online: self.running_online,
            queued_online: count(self.queued_online()),
            running_batch: count(self.running_batch.len()),
            batch_credits,
            credit_valid_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
        }
    }

    /// Estimates how long an online request that arrived now would be queued.
    #[must_use]
    pub fn expected_wait_ms(&self) -> u64 {
        if self.running_online < self.limits.slots() {
            return 0;
        }
        let slots = self.limits.slots();
        self.online_slot_time
            .serve_ms(self.queued_online() + 1, slots)
    }

    fn advance(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.limits.advance(now_ms);
        self.start_waiting(now_ms, actions);
        let has_ready_item = !self.batch.is_empty() && self.free_batch_slots(now_ms) > 0;
        self.batch_due_ms = has_ready_item.then_some(self.batch_from_ms);
        self.rebalance_credits(now_ms, actions);
        if self.draining && !self.drained && self.requests.is_empty() {
            self.drained = true;
            actions.push(Action::DrainDone);
        }
    }

    fn queued_online(&self) -> usize {
        self.urgent.len() + self.interactive.len()
    }

    fn queue_of(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
