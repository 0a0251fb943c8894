//! A model of the store and of several holders of one chunk, some of which are paused.

use std::collections::{BTreeMap, BTreeSet};

use eel_batch::{
    Action, ClaimedChunk, DrainReason, Event, History, ItemIndex, ItemResult, PartIndex, Policy,
    Response, Runner, WindowIndex,
};
use eel_verdict::{Reason, Refusal, Verdict};

type Starts = BTreeMap<ItemIndex, u32>;

pub const LEASE_MS: u64 = 10_000;
pub const MARGIN_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 1_000_000;

/// The stored state of one chunk.
#[derive(Default)]
pub struct Stored {
    epoch: u64,
    holder: Option<u64>,
    claim_until_ms: u64,
    history: History,
    marked: BTreeSet<ItemIndex>,
    windows: u32,
    pub results: BTreeMap<ItemIndex, Vec<ItemResult>>,
    parts: u32,
    pub done: bool,
}

struct Holder {
    epoch: u64,
    runner: Runner,
    in_flight: BTreeSet<ItemIndex>,
    before: History,
    /// A paused holder gets no events and carries out no actions.
    paused: bool,
}

/// One step of a generated run.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Pass { ms: u64 },
    Claim,
    Credit { count: u32 },
    Answer { status_code: u16 },
    Refuse { refusal: Refusal },
    Crash,
    Pause,
    Resume,
    Renew,
    Drain(DrainReason),
}

pub struct Simulation {
    pub now_ms: u64,
    pub stored: Stored,
    /// How often each item may have started to run.
    pub starts: Starts,
    items: u32,
    repeatable: bool,
    holders: Vec<Holder>,
    cancelled: bool,
}

impl Simulation {
    pub fn new(items: u32, repeatable: bool) -> Self {
        Self {
            now_ms: 0,
            stored: Stored::default(),
            starts: BTreeMap::new(),
            items,
            repeatable,
            holders: Vec::new(),
            cancelled: false,
        }
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Pass { ms } => {
                self.now_ms += ms;
                self.each(|_, _| Some(Event::Tick));
            }
            Step::Claim => self.claim(),
            Step::Credit { count } => self.each(|_, _| Some(Event::CreditGranted { count })),
            Step::Answer { status_code } => self.each(|holder, _| {
                let item = holder.in_flight.pop_first()?;
                let response = Response::from_bytes(status_code, b"{}");
                Some(Event::Answered { item, response })
            }),
            Step::Refuse { refusal } => self.each(|holder, starts| {
                let item = holder.in_flight.pop_last()?;
                if refusal.verdict == Verdict::NotRun {
                    *starts.get_mut(&item)? -= 1;
                }
                Some(Event::Refused { item, refusal })
            }),
            Step::Crash => drop(self.holders.pop()),
            Step::Pause => self
                .holders
                .iter_mut()
                .for_each(|holder| holder.paused = true),
            Step::Resume => {
                self.holders
                    .iter_mut()
                    .for_each(|holder| holder.paused = false);
                self.each(|_, _| Some(Event::Tick));
            }
            Step::Renew => self.renew(),
            Step::Drain(drain) => {
                self.cancelled |= drain == DrainReason::Cancelled;
                self.each(|_, _| Some(Event::Drain(drain)));
            }
        }
        self.holders.retain(|holder| !holder.runner.is_stopped());
    }

    /// Replaces all holders by a healthy one and runs it until the chunk is done.
    pub fn finish(&mut self) {
        self.holders.clear();
        for _ in 0..10_000 {
            if self.stored.done {
                return;
            }
            self.step(Step::Claim);
            self.step(Step::Renew);
            self.step(Step::Credit { count: 3 });
            self.step(Step::Answer { status_code: 200 });
            self.step(Step::Pass { ms: 500 });
        }
    }

    fn claim(&mut self) {
        let free = self.stored.holder.is_none() || self.now_ms >= self.stored.claim_until_ms;
        if self.stored.done || !free {
            return;
        }
        let stored = &mut self.stored;
        stored.epoch += 1;
        stored.holder = Some(stored.epoch);
        stored.claim_until_ms = self.now_ms + LEASE_MS;
        let before = stored.history;
        stored.history = History {
            lost_holders: before.lost_holders + 1,
            sent: true,
        };
        let claimed = ClaimedChunk {
            items: self.items,
            repeatable: self.repeatable,
            settled: stored.results.keys().copied().collect(),
            failed: 0,
            marked: stored.marked.clone(),
            history: before,
            next_part: PartIndex(stored.parts),
            next_window: WindowIndex(stored.windows),
            hold_until_ms: self.now_ms + LEASE_MS - MARGIN_MS,
            deadline_ms: DEADLINE_MS,
        };
        let policy = Policy {
            window_items: 3,
            checkpoint_ms: 2_000,
            max_lost_holders: 1_000,
            ..Policy::default()
        };
        self.holders.push(Holder {
            epoch: stored.epoch,
            runner: Runner::new(self.now_ms, claimed, policy),
            in_flight: BTreeSet::new(),
            before,
            paused: false,
        });
        let newest = self.holders.len() - 1;
        let event = if self.cancelled {
            Event::Drain(DrainReason::Cancelled)
        } else {
            Event::Tick
        };
        self.feed(newest, event);
    }

    fn renew(&mut self) {
        let live = self.now_ms < self.stored.claim_until_ms;
        for index in 0..self.holders.len() {
            let holder = &self.holders[index];
            if holder.paused || Some(holder.epoch) != self.stored.holder || !live {
                continue;
            }
            self.stored.claim_until_ms = self.now_ms + LEASE_MS;
            let hold_until_ms = self.now_ms + LEASE_MS - MARGIN_MS;
            self.feed(index, Event::LeaseRenewed { hold_until_ms });
        }
    }

    fn each(&mut self, mut event: impl FnMut(&mut Holder, &mut Starts) -> Option<Event>) {
        for index in 0..self.holders.len() {
            if self.holders[index].paused {
                continue;
            }
            if let Some(event) = event(&mut self.holders[index], &mut self.starts) {
                self.feed(index, event);
            }
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let actions = self.holders[index].runner.on_event(self.now_ms, event);
            for action in actions {
                self.act(index, action, &mut events);
            }
        }
    }

    fn act(&mut self, index: usize, action: Action, events: &mut Vec<Event>) {
        let fenced = Some(self.holders[index].epoch) != self.stored.holder;
        let holder = &mut self.holders[index];
        match action {
            Action::Send { item, .. } => {
                *self.starts.entry(item).or_default() += 1;
                holder.in_flight.insert(item);
            }
            Action::AbortAll => {
                let refusal = Refusal::may_have_run(Reason::Cancelled);
                let aborted = std::mem::take(&mut holder.in_flight);
                events.extend(
                    aborted
                        .into_iter()
                        .map(|item| Event::Refused { item, refusal }),
                );
            }
            _ if fenced => events.push(Event::ClaimLost),
            Action::MarkStarted { items, .. } => {
                self.stored.windows += 1;
                self.stored.marked.extend(items);
                events.push(Event::Marked);
            }
            Action::Commit(part) => {
                assert_eq!(part.index, PartIndex(self.stored.parts));
                self.stored.parts += 1;
                self.stored.done |= part.done.is_some();
                for result in part.results {
                    let results = self.stored.results.entry(result.item).or_default();
                    results.push(result);
                }
                events.push(Event::Committed);
            }
            Action::Release { history } => {
                assert!(history.lost_holders == holder.before.lost_holders);
                self.stored.history = history;
                self.stored.holder = None;
                self.stored.marked.clear();
            }
        }
    }
}
