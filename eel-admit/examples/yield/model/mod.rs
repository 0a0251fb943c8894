//! Simulates one engine that works in steps, the entry nodes that send to it, and the admission policy between them.

mod steps;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use eel_admit::{
    Action, Admission, Arrival, Event, LinkHello, LinkKey, Options, RequestKey, ServiceLimits,
};
use eel_types::{Attempt, Class, Incarnation, Name, RequestId};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{fifo::FifoScheduler, figures::Figures};

/// The number of streams that the engine runs concurrently.
pub const SLOTS: u32 = 32;
/// The simulated length of a run.
pub const RUN_US: u64 = 600_000_000;
const STEP_BASE_US: u64 = 10_000;
const STEP_PROMPT_US: u64 = 4_000;
const LINK_DELAY_US: u64 = 1_500;
/// The number of entry nodes, each with one link.
pub const LINKS: usize = 3;
const CREDIT_REQUEST_INTERVAL_US: u64 = 1_000_000;
const FIXED_RESERVE: usize = 8;

/// The step time of the engine and the online load.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// The time that each stream adds to a step.
    pub step_stream_us: u64,
    /// The maximum time between two single arrivals.
    pub gap_us: u64,
    /// The maximum number of requests in a burst.
    pub burst: u64,
}

/// How batch items share the slots with online requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Only online requests run.
    NoBatch,
    /// Batch and online requests start first in, first out.
    NoYield,
    /// Batch leaves a fixed number of slots free.
    FixedReserve,
    /// [`Admission`] grants credits for batch items.
    Credits {
        /// Whether the engine resumes a preempted stream after its last token.
        resumes: bool,
    },
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Online { tokens: u32 },
    Item { link: usize, tokens: u32 },
    Granted { link: usize, limit: u64 },
    RequestCredits { link: usize },
    Tick,
    StepEnd,
}

/// A request that has arrived and not ended.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Online requests and batch items are measured apart.
    pub class: Class,
    link: usize,
    tokens: u32,
    tokens_left: u32,
    arrived_us: u64,
    started_us: u64,
    /// Whether it is online and arrived while there were fewer online requests than slots.
    found_slot: bool,
    first_token_us: Option<u64>,
    cancelled: bool,
}

/// The state of a run.
pub struct Model {
    setting: Setting,
    policy: Policy,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    sequence: u64,
    admission: Admission,
    fifo: FifoScheduler,
    links: Vec<LinkKey>,
    /// The number of items that each entry node has sent.
    sent: Vec<u64>,
    /// The remaining tokens of the items that each entry node got back.
    returned: Vec<Vec<u32>>,
    streams: HashMap<RequestKey, Stream>,
    incoming: Vec<RequestKey>,
    active: Vec<RequestKey>,
    tick_us: u64,
    step_us: u64,
    stepping: bool,
    next_id: u128,
    rng: StdRng,
    figures: Figures,
}

impl Model {
    /// Creates a run and schedules its online requests.
    pub fn new(setting: Setting, policy: Policy, seed: u64) -> Self {
        let limits = ServiceLimits {
            slots: SLOTS,
            queue: 256,
            ..ServiceLimits::default()
        };
        let mut admission = Admission::new(Options {
            limits,
            ..Options::default()
        });
        let links = (0..LINKS).map(|link| open(&mut admission, link)).collect();
        let mut model = Self {
            setting,
            policy,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            admission,
            fifo: FifoScheduler::default(),
            links,
            sent: vec![0; LINKS],
            returned: vec![Vec::new(); LINKS],
            streams: HashMap::new(),
            incoming: Vec::new(),
            active: Vec::new(),
            tick_us: u64::MAX,
            step_us: STEP_BASE_US,
            stepping: false,
            next_id: 0,
            rng: StdRng::seed_from_u64(seed + 1_000),
            figures: Figures::default(),
        };
        model.schedule_online(&mut StdRng::seed_from_u64(seed));
        match policy {
            Policy::Credits { .. } => {
                (0..LINKS).for_each(|link| model.schedule(0, SimEvent::RequestCredits { link }));
            }
            Policy::NoYield | Policy::FixedReserve => (0..SLOTS).for_each(|_| model.send_item(0)),
            Policy::NoBatch => {}
        }
        model
    }

    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn schedule_tick(&mut self) {
        if self.tick_us <= self.now_us {
            self.tick_us = u64::MAX;
        }
        let due_us = self.admission.next_deadline_ms().map(|at_ms| at_ms * 1_000);
        if let Some(due_us) = due_us.filter(|due_us| *due_us < self.tick_us) {
            self.tick_us = due_us.max(self.now_us + 1);
            self.schedule(self.tick_us, SimEvent::Tick);
        }
    }

    /// Schedules single arrivals, and every few seconds a burst within 30 ms.
    fn schedule_online(&mut self, rng: &mut StdRng) {
        let mut at_us = 0;
        while at_us < RUN_US {
            at_us += rng.random_range(1_000..self.setting.gap_us);
            let tokens = rng.random_range(20..140);
            self.schedule(at_us, SimEvent::Online { tokens });
        }
        let mut burst_us = 0;
        while burst_us < RUN_US {
            burst_us += rng.random_range(1_000_000..5_000_000);
            for _ in 0..rng.random_range(self.setting.burst / 3..self.setting.burst) {
                let at_us = burst_us + rng.random_range(0..30_000);
                let tokens = rng.random_range(20..140);
                self.schedule(at_us, SimEvent::Online { tokens });
            }
        }
    }

    fn send_item(&mut self, link: usize) {
        self.sent[link] += 1;
        let fresh = self.rng.random_range(64..256);
        let tokens = self.returned[link].pop().unwrap_or(fresh);
        let delay_us = if matches!(self.policy, Policy::Credits { .. }) {
            LINK_DELAY_US
        } else {
            0
        };
        self.schedule(self.now_us + delay_us, SimEvent::Item { link, tokens });
    }

    /// Runs the simulation for [`RUN_US`] and returns its results.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > RUN_US {
                break;
            }
            self.now_us = at_us;
            match event {
                SimEvent::Online { tokens } => self.arrive(Class::Interactive, 0, tokens),
                SimEvent::Item { link, tokens } => self.arrive(Class::Batch, link, tokens),
                SimEvent::Granted { link, limit } => {
                    while self.sent[link] < limit {
                        self.send_item(link);
                    }
                }
                SimEvent::RequestCredits { link } => {
                    self.schedule(
                        self.now_us + CREDIT_REQUEST_INTERVAL_US,
                        SimEvent::RequestCredits { link },
                    );
                    self.decide(Event::CreditsRequested(self.links[link]));
                }
                SimEvent::Tick => self.decide(Event::Tick),
                SimEvent::StepEnd => self.end_step(),
            }
            self.begin_step();
        }
        self.figures
    }

    fn arrive(&mut self, class: Class, link: usize, tokens: u32) {
        self.next_id += 1;
        let key = RequestKey {
            id: RequestId(self.next_id),
            attempt: Attempt(1),
        };
        let (arrived_us, tokens_left) = (self.now_us, tokens);
        let stream = Stream {
            class,
            link,
            tokens,
            tokens_left,
            arrived_us,
            started_us: arrived_us,
            found_slot: class.is_online() && self.online() < SLOTS as usize,
            first_token_us: None,
            cancelled: false,
        };
        self.streams.insert(key, stream);
        self.decide(Event::Arrived(Arrival {
            key,
            link: self.links[link],
            caller: Name::from("caller"),
            class,
            deadline_ms: self.now_us / 1_000 + 30_000,
            repeatable: true,
        }));
    }

    fn decide(&mut self, event: Event) {
        let mut actions = Vec::new();
        match self.policy {
            Policy::NoYield => self.fifo.on_event(&event, &self.streams, 0, &mut actions),
            Policy::FixedReserve => {
                self.fifo
                    .on_event(&event, &self.streams, FIXED_RESERVE, &mut actions);
            }
            Policy::NoBatch | Policy::Credits { .. } => {
                self.admission
                    .on_event(self.now_us / 1_000, event, &mut actions);
            }
        }
        for action in actions {
            self.apply(&action);
        }
        self.schedule_tick();
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Start(key) => {
                self.streams.get_mut(key).expect("waits").started_us = self.now_us;
                self.incoming.push(*key);
            }
            Action::Preempt(key) | Action::Cancel(key) => {
                self.figures.preempted += 1;
                self.streams.get_mut(key).expect("runs").cancelled = true;
            }
            Action::Refuse(key, _) => {
                let stream = self.streams.remove(key).expect("waits");
                match stream.class {
                    Class::Batch => {
                        self.figures.bounced += 1;
                        self.returned[stream.link].push(stream.tokens_left);
                    }
                    Class::Urgent | Class::Interactive => self.figures.refused += 1,
                }
            }
            Action::Grant {
                link,
                received,
                credits,
                ..
            } => {
                let link = self
                    .links
                    .iter()
                    .position(|other| other == link)
                    .expect("open");
                let limit = received + u64::from(*credits);
                self.schedule(
                    self.now_us + LINK_DELAY_US,
                    SimEvent::Granted { link, limit },
                );
            }
            Action::RefuseDuplicate(..) | Action::Settled(..) | Action::DrainDone => {}
        }
    }

    /// Returns the number of queued and running online requests.
    fn online(&self) -> usize {
        let streams = self.streams.values();
        streams.filter(|stream| stream.class.is_online()).count()
    }
}

/// Opens the link of entry node number `link`.
pub fn open(admission: &mut Admission, link: usize) -> LinkKey {
    let hello = LinkHello {
        entry: Name::from(link.to_string()),
        incarnation: Incarnation(1),
        generation: 1,
        supersedes: true,
    };
    admission.open_link(0, hello, &mut Vec::new())
}
