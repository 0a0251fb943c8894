//! Invariants that hold after every event of generated sequences.
//!
//! They guard against online requests that wait while a slot is free or a batch item could be preempted, against more
//! running requests than slots, and against settlements that contradict what the requests did.

use std::collections::HashMap;

use eel_admit::{Action, Arrival, Event, LinkKey, RequestKey, ServiceLimits, Settlement};
use eel_types::{Class, Name};
use eel_verdict::Verdict;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::driver::{Driver, key, options};

const SEED: u64 = 20_261_204;
const SEQUENCES: u64 = 400;
const EVENTS: usize = 300;

#[derive(Clone, Debug)]
enum Step {
    Open {
        supersedes: bool,
    },
    Close {
        link: usize,
    },
    Arrive {
        link: usize,
        caller: u8,
        class: Class,
        time_left_ms: u64,
        repeatable: bool,
    },
    ArriveAgain {
        request: usize,
    },
    Finish {
        running: usize,
        first_byte_ms: u64,
    },
    Cancel {
        id: u8,
    },
    Settle {
        id: u8,
    },
    Configure {
        slots: u32,
    },
    RequestCredits {
        link: usize,
    },
    Wait {
        ms: u64,
    },
    Drain,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let classes = [
            Class::Urgent,
            Class::Interactive,
            Class::Batch,
            Class::Batch,
        ];
        match u8::arbitrary(g) % 64 {
            0..2 => Self::Open {
                supersedes: bool::arbitrary(g),
            },
            2 => Self::Close {
                link: usize::arbitrary(g),
            },
            3..30 => Self::Arrive {
                link: usize::arbitrary(g),
                caller: u8::arbitrary(g) % 3,
                class: *g.choose(&classes).expect("not empty"),
                time_left_ms: u64::arbitrary(g) % 3_000,
                repeatable: u8::arbitrary(g) % 4 > 0,
            },
            30..32 => Self::ArriveAgain {
                request: usize::arbitrary(g),
            },
            32..48 => Self::Finish {
                running: usize::arbitrary(g),
                first_byte_ms: u64::arbitrary(g) % 600,
            },
            48..50 => Self::Cancel {
                id: u8::arbitrary(g),
            },
            50..52 => Self::Settle {
                id: u8::arbitrary(g),
            },
            52 => Self::Configure {
                slots: u32::arbitrary(g) % 6 + 1,
            },
            53..58 => Self::RequestCredits {
                link: usize::arbitrary(g),
            },
            58 if u8::arbitrary(g) < 4 => Self::Drain,
            _ => Self::Wait {
                ms: u64::arbitrary(g) % 400,
            },
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Queued,
    Running,
    Preempted,
    Finished,
    Refused,
}

/// A run of the state machine, with the state of each request as its actions show it.
struct Run {
    driver: Driver,
    links: Vec<(LinkKey, u64)>,
    fence: u64,
    arrivals: Vec<Arrival>,
    states: HashMap<RequestKey, State>,
    barred: Vec<RequestKey>,
}

impl Run {
    fn new() -> Self {
        let mut run = Self {
            driver: Driver::new(options(4, 6)),
            links: Vec::new(),
            fence: 0,
            arrivals: Vec::new(),
            states: HashMap::new(),
            barred: Vec::new(),
        };
        run.open(true);
        run
    }

    fn open(&mut self, supersedes: bool) {
        let generation = self.links.len() as u64 + 1;
        let link = self.driver.open(generation, supersedes);
        self.links.push((link, generation));
        if supersedes {
            self.fence = generation;
        }
    }

    fn link(&self, index: usize) -> LinkKey {
        self.links[index % self.links.len()].0
    }

    fn in_state(&self, state: State) -> impl Iterator<Item = &Arrival> {
        let arrivals = self.arrivals.iter();
        arrivals.filter(move |arrival| self.states.get(&arrival.key) == Some(&state))
    }

    fn count(&self, state: State, class: Class) -> u32 {
        let of_class = self
            .in_state(state)
            .filter(|arrival| arrival.class == class);
        u32::try_from(of_class.count()).expect("few requests")
    }

    fn step(&mut self, step: &Step) {
        self.driver.now_ms += 1;
        let event = match *step {
            Step::Open { supersedes } => {
                self.open(supersedes);
                return self.check();
            }
            Step::Close { link } => Event::LinkClosed(self.link(link)),
            Step::Arrive {
                link,
                caller,
                class,
                time_left_ms,
                repeatable,
            } => {
                let arrival = Arrival {
                    key: key(self.arrivals.len() as u128),
                    link: self.link(link),
                    caller: Name::from(caller.to_string()),
                    class,
                    deadline_ms: self.driver.now_ms + time_left_ms,
                    repeatable,
                };
                self.arrivals.push(arrival.clone());
                self.states.insert(arrival.key, State::Queued);
                Event::Arrived(arrival)
            }
            Step::ArriveAgain { request } if !self.arrivals.is_empty() => {
                Event::Arrived(self.arrivals[request % self.arrivals.len()].clone())
            }
            Step::Finish {
                running,
                first_byte_ms,
            } => {
                let started: Vec<_> = [State::Running, State::Preempted]
                    .iter()
                    .flat_map(|state| self.in_state(*state).map(|arrival| arrival.key))
                    .collect();
                let Some(index) = running.checked_rem(started.len()) else {
                    return;
                };
                self.states.insert(started[index], State::Finished);
                self.driver.finish(started[index].id.0, first_byte_ms);
                return self.check();
            }
            Step::Cancel { id } => {
                self.barred.push(key(id.into()));
                Event::CancelRequested(key(id.into()))
            }
            Step::Settle { id } => Event::Settle(key(id.into())),
            Step::Configure { slots } => Event::Configured(ServiceLimits {
                slots,
                queue: 6,
                ..ServiceLimits::default()
            }),
            Step::RequestCredits { link } => Event::CreditsRequested(self.link(link)),
            Step::Wait { ms } => {
                self.driver.now_ms += ms;
                Event::Tick
            }
            Step::Drain => Event::DrainStarted,
            Step::ArriveAgain { .. } => Event::Tick,
        };
        self.driver.event(event);
        self.check();
    }

    fn check(&mut self) {
        for action in self.driver.actions.clone() {
            self.apply(&action);
        }
        let slots = self
            .driver
            .admission
            .report(self.driver.now_ms, self.link(0))
            .slots;
        let online_queued = self.count(State::Queued, Class::Urgent)
            + self.count(State::Queued, Class::Interactive);
        let online = self.count(State::Running, Class::Urgent)
            + self.count(State::Running, Class::Interactive);
        let batch = self
            .in_state(State::Running)
            .filter(|arrival| arrival.class == Class::Batch);
        let repeatable = batch.filter(|item| item.repeatable).count();
        assert!(
            online_queued == 0 || repeatable == 0,
            "an online request is queued while a repeatable item runs"
        );
        assert!(
            online_queued == 0 || online >= slots,
            "an online request is queued although a slot is free"
        );
        assert!(
            repeatable == 0 || online as usize + repeatable <= slots as usize,
            "more requests run than there are slots"
        );
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Start(key) => self.apply_start(*key),
            Action::Refuse(key, refusal) => {
                assert_eq!(refusal.verdict, Verdict::NotRun);
                let before = self.states.insert(*key, State::Refused);
                assert_eq!(
                    before,
                    Some(State::Queued),
                    "refused once, before it started"
                );
            }
            Action::RefuseDuplicate(key, refusal) => {
                let started = self.started(*key);
                assert!(refusal.verdict == Verdict::MayHaveRun || !started);
                if self.barred.contains(key) && self.states[key] == State::Queued {
                    self.states.insert(*key, State::Refused);
                }
            }
            Action::Preempt(key) => {
                let before = self.states.insert(*key, State::Preempted);
                assert_eq!(before, Some(State::Running));
                let arrival =
                    &self.arrivals[usize::try_from(key.id.0).expect("the id is an index")];
                assert!(arrival.class == Class::Batch && arrival.repeatable);
            }
            Action::Cancel(key) => assert!(self.started(*key)),
            Action::Settled(key, settlement) => {
                let finished = self.states.get(key) == Some(&State::Finished);
                match settlement {
                    Settlement::NeverStarted => assert!(!self.started(*key)),
                    Settlement::Started { finished: reported } => {
                        assert!(self.started(*key) && *reported == finished);
                    }
                    Settlement::Unknown => panic!("no request was evicted"),
                }
                self.barred.push(*key);
            }
            Action::Grant { .. } | Action::DrainDone => {}
        }
    }

    fn started(&self, key: RequestKey) -> bool {
        let state = self.states.get(&key);
        matches!(
            state,
            Some(State::Running | State::Preempted | State::Finished)
        )
    }

    fn apply_start(&mut self, key: RequestKey) {
        let before = self.states.insert(key, State::Running);
        assert_eq!(
            before,
            Some(State::Queued),
            "starts once, and not after a refusal"
        );
        let arrival = self.arrivals[usize::try_from(key.id.0).expect("the id is an index")].clone();
        assert!(
            self.driver.now_ms < arrival.deadline_ms,
            "starts before its deadline"
        );
        let generation = self
            .links
            .iter()
            .find(|(link, _)| *link == arrival.link)
            .map(|(_, generation)| *generation);
        assert!(
            generation >= Some(self.fence),
            "a fenced link starts nothing"
        );
        if arrival.class != Class::Urgent {
            assert_eq!(
                self.count(State::Queued, Class::Urgent),
                0,
                "an urgent request is queued"
            );
        }
    }

    fn end(&mut self) {
        self.driver.now_ms += 1_000_000;
        self.driver.event(Event::Tick);
        self.check();
        let open = self.arrivals.iter().filter(|arrival| {
            !matches!(
                self.states[&arrival.key],
                State::Finished | State::Refused | State::Running | State::Preempted
            )
        });
        assert_eq!(open.count(), 0, "every request ends");
    }
}

#[test]
fn invariants_hold_after_every_event() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut run = Run::new();
        for step in steps {
            run.step(&step);
        }
        run.end();
        true
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(EVENTS, SEED))
        .tests(SEQUENCES)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
