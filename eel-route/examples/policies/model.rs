//! A queue model of one pool: 12 targets of 8 slots in 3 data centres, with one or ten entry nodes in each.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use eel_route::{
    AttemptOutcome, Attempts, FailedAttempt, InFlightKey, Pool, PoolOptions, RetryBudget,
    RetryBudgetOptions, RetryDecision, RetryOptions, TargetInfo, TargetKey, TargetQuery,
};
use eel_types::{Class, LoadReport, Name};
use eel_verdict::{Reason, Refusal, Verdict};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

const DATA_CENTRES: usize = 3;
const TARGETS: usize = 12;
const SLOTS: usize = 8;
const QUEUE: usize = 24;
const DURATION_US: u64 = 30_000_000;
const RATE_PER_S: f64 = 670.0;
const PREFILL_US: f64 = 25_000.0;
const CACHED_PREFILL_US: f64 = 5_000.0;
const DECODE_US: f64 = 75_000.0;
const CROSS_RTT_US: u64 = 3_000;
const SAMPLE_US: u64 = 100_000;
const TIMEOUT_US: u64 = 300_000;
const DEADLINE_US: u64 = 2_000_000;
const PREFIXES: f64 = 400.0;
const CACHE_ENTRIES: usize = 40;
const HINT_LAG_US: u64 = 200_000;
const HINT_GAPS: f64 = 0.2;

/// The load or fault that a run simulates.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Case {
    Equal,
    Slow,
    Dead,
    Flapping,
    Lagging,
    Bursts,
    Overload,
    Skewed,
    ManyEntries,
    ManyLagging,
    Prefixes,
}

impl Case {
    fn entries(self) -> usize {
        match self {
            Self::ManyEntries | Self::ManyLagging => 30,
            _ => DATA_CENTRES,
        }
    }

    fn is_lagging(self) -> bool {
        matches!(self, Self::Lagging | Self::ManyLagging)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    ReachTarget(usize),
    Done(usize),
    Lost(usize),
    Sample,
    ReportArrived(usize, usize, u32),
    Hint(usize, usize, u64),
}

struct Entry {
    pool: Pool,
    budget: RetryBudget,
    keys: Vec<TargetKey>,
}

struct Request {
    entry: usize,
    prefix: u64,
    arrived_us: u64,
    attempts: Attempts,
}

struct Running {
    request: usize,
    target: usize,
    key: InFlightKey,
    started_us: u64,
    first_byte_us: u64,
}

#[derive(Default)]
struct Target {
    busy: usize,
    queue: VecDeque<usize>,
    cache: VecDeque<u64>,
}

/// The state of one simulation run.
pub(crate) struct Model {
    case: Case,
    now_us: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    running: Vec<Running>,
    pub(crate) latencies_us: Vec<u64>,
    pub(crate) answered: usize,
    load_rng: StdRng,
    choice_rng: StdRng,
}

impl Model {
    pub(crate) fn new(case: Case, options: PoolOptions, seed: u64) -> Self {
        let entries = (0..case.entries()).map(|entry| {
            let mut pool = Pool::new(options);
            let info = |target: usize| TargetInfo {
                vm: Name::from(format!("vm-{target}")),
                data_centre: Name::from(format!("dc-{}", target % DATA_CENTRES)),
                same_data_centre: target % DATA_CENTRES == entry % DATA_CENTRES,
            };
            let keys = (0..TARGETS)
                .map(|target| pool.add_target(0, info(target)))
                .collect();
            Entry {
                pool,
                budget: RetryBudget::new(0, RetryBudgetOptions::default()),
                keys,
            }
        });
        Self {
            case,
            now_us: 0,
            seq: 0,
            events: BinaryHeap::new(),
            entries: entries.collect(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            requests: Vec::new(),
            running: Vec::new(),
            latencies_us: Vec::new(),
            answered: 0,
            load_rng: StdRng::seed_from_u64(seed),
            choice_rng: StdRng::seed_from_u64(seed + 1_000),
        }
    }

    pub(crate) fn run(&mut self) {
        self.after(0, Event::Arrive);
        self.after(0, Event::Sample);
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            match event {
                Event::Arrive => self.arrive(),
                Event::ReachTarget(attempt) => self.reach(attempt),
                Event::Done(attempt) => self.done(attempt),
                Event::Lost(attempt) => {
                    self.fail(attempt, AttemptOutcome::Failed, Verdict::MayHaveRun);
                }
                Event::Sample => self.sample(),
                Event::ReportArrived(entry, target, load) => self.on_report(entry, target, load),
                Event::Hint(entry, target, prefix) => {
                    let Entry { pool, keys, .. } = &mut self.entries[entry];
                    pool.on_prefix_cached(prefix, keys[target]);
                }
            }
        }
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.seq += 1;
        self.events
            .push(Reverse((self.now_us + delay_us, self.seq, event)));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.load_rng.random();
        (-mean_us * (1.0 - uniform).ln()) as u64
    }

    fn is_dead(&self, target: usize) -> bool {
        let second = self.now_us / 1_000_000;
        match self.case {
            Case::Dead => target == 0 && second >= 5,
            Case::Flapping => target == 0 && second % 2 == 1,
            _ => false,
        }
    }

    fn rate_per_s(&self) -> f64 {
        match self.case {
            Case::Bursts if self.now_us % 2_000_000 < 300_000 => 2.5 * RATE_PER_S,
            Case::Overload => 2.0 * RATE_PER_S,
            _ => RATE_PER_S,
        }
    }

    fn arrive(&mut self) {
        if self.now_us >= DURATION_US {
            return;
        }
        let gap_us = self.exponential_us(1e6 / self.rate_per_s());
        self.after(gap_us, Event::Arrive);
        let skewed = self.case == Case::Skewed && self.load_rng.random_bool(0.4);
        let entry = if skewed {
            0
        } else {
            self.load_rng.random_range(0..self.entries.len())
        };
        let uniform: f64 = self.load_rng.random();
        let deadline_ms = (self.now_us + DEADLINE_US) / 1_000;
        self.requests.push(Request {
            entry,
            prefix: (uniform * uniform * PREFIXES) as u64,
            arrived_us: self.now_us,
            attempts: Attempts::new(RetryOptions::default(), true, deadline_ms),
        });
        self.send(self.requests.len() - 1);
    }

    fn send(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let state = &mut self.requests[request];
        let entry = &mut self.entries[state.entry];
        let query = TargetQuery {
            class: Class::Interactive,
            prefix_hash: (self.case == Case::Prefixes).then_some(state.prefix),
            repeatable: true,
            excluded: state.attempts.excluded(),
        };
        let Ok(chosen) = entry.pool.choose(now_ms, &query, &mut self.choice_rng) else {
            return self.latencies_us.push(DEADLINE_US);
        };
        let key = entry
            .pool
            .start(now_ms, chosen, query.class)
            .expect("the chosen target is usable");
        let target = entry
            .keys
            .iter()
            .position(|key| *key == chosen)
            .expect("known");
        state.attempts.on_start(chosen);
        let cross = target % DATA_CENTRES != state.entry % DATA_CENTRES;
        let started_us = self.now_us;
        self.running.push(Running {
            request,
            target,
            key,
            started_us,
            first_byte_us: 0,
        });
        let delay_us = if cross { CROSS_RTT_US } else { 0 };
        self.after(delay_us, Event::ReachTarget(self.running.len() - 1));
    }

    fn reach(&mut self, attempt: usize) {
        let index = self.running[attempt].target;
        if self.is_dead(index) {
            return self.after(TIMEOUT_US, Event::Lost(attempt));
        }
        let target = &mut self.targets[index];
        if target.busy < SLOTS {
            self.begin(attempt);
        } else if target.queue.len() < QUEUE {
            target.queue.push_back(attempt);
        } else {
            self.fail(
                attempt,
                AttemptOutcome::Refused(Reason::Overloaded),
                Verdict::NotRun,
            );
        }
    }

    fn begin(&mut self, attempt: usize) {
        let index = self.running[attempt].target;
        let prefix = self.requests[self.running[attempt].request].prefix;
        self.targets[index].busy += 1;
        let cached = self.case == Case::Prefixes && self.use_cache(index, prefix);
        let slowdown = if self.case == Case::Slow && index == 0 {
            5.0
        } else {
            1.0
        };
        let prefill_us = if cached {
            CACHED_PREFILL_US
        } else {
            PREFILL_US
        };
        let prefill_us = (prefill_us * slowdown) as u64;
        let decode_us = self.exponential_us(DECODE_US * slowdown);
        let running = &mut self.running[attempt];
        running.first_byte_us = self.now_us - running.started_us + prefill_us;
        self.after(prefill_us + decode_us, Event::Done(attempt));
    }

    fn use_cache(&mut self, index: usize, prefix: u64) -> bool {
        let cache = &mut self.targets[index].cache;
        let found = cache.iter().position(|known| *known == prefix);
        match found {
            Some(position) => drop(cache.remove(position)),
            None if cache.len() >= CACHE_ENTRIES => drop(cache.pop_front()),
            None => {}
        }
        cache.push_back(prefix);
        for entry in 0..self.entries.len() {
            if found.is_none() && !self.load_rng.random_bool(HINT_GAPS) {
                self.after(HINT_LAG_US, Event::Hint(entry, index, prefix));
            }
        }
        found.is_some()
    }

    fn done(&mut self, attempt: usize) {
        let (index, request) = (self.running[attempt].target, self.running[attempt].request);
        self.targets[index].busy -= 1;
        if let Some(next) = self.targets[index].queue.pop_front() {
            self.begin(next);
        }
        if self.is_dead(index) {
            return self.after(TIMEOUT_US, Event::Lost(attempt));
        }
        let first_byte_us = self.running[attempt].first_byte_us;
        let entry = &mut self.entries[self.requests[request].entry];
        entry.budget.on_success();
        self.end(attempt, AttemptOutcome::Answered { first_byte_us });
        let latency_us = self.now_us - self.requests[request].arrived_us;
        self.answered += usize::from(latency_us <= DEADLINE_US);
        self.latencies_us.push(latency_us.min(DEADLINE_US));
    }

    fn end(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let (now_ms, running) = (self.now_ms(), &self.running[attempt]);
        let pool = &mut self.entries[self.requests[running.request].entry].pool;
        pool.end(now_ms, running.key, outcome, &mut self.choice_rng);
    }

    fn fail(&mut self, attempt: usize, outcome: AttemptOutcome, verdict: Verdict) {
        self.end(attempt, outcome);
        let (now_ms, request) = (self.now_ms(), self.running[attempt].request);
        let state = &mut self.requests[request];
        let refusal = Refusal {
            verdict,
            ..Refusal::not_run(Reason::TargetFailed)
        };
        let budget = &mut self.entries[state.entry].budget;
        match state
            .attempts
            .on_end(now_ms, FailedAttempt::from(refusal), budget)
        {
            RetryDecision::Retry => self.send(request),
            RetryDecision::Finish(_) => self.latencies_us.push(DEADLINE_US),
        }
    }

    fn sample(&mut self) {
        if self.now_us >= DURATION_US {
            return;
        }
        let lag_us = if self.case.is_lagging() {
            500_000
        } else {
            5_000
        };
        for target in (0..TARGETS)
            .filter(|target| !self.is_dead(*target))
            .collect::<Vec<_>>()
        {
            let load = self.targets[target].busy + self.targets[target].queue.len();
            let load = u32::try_from(load).expect("small");
            (0..self.entries.len())
                .for_each(|entry| self.after(lag_us, Event::ReportArrived(entry, target, load)));
        }
        self.after(SAMPLE_US, Event::Sample);
    }

    fn on_report(&mut self, entry: usize, target: usize, load: u32) {
        let slots = u32::try_from(SLOTS).expect("small");
        let running_online = load.min(slots);
        let report = LoadReport {
            slots,
            running_online,
            queued_online: load - running_online,
            ..LoadReport::default()
        };
        let now_ms = self.now_ms();
        let Entry { pool, keys, .. } = &mut self.entries[entry];
        pool.on_report(now_ms, keys[target], report);
    }
}
