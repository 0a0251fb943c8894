//! Simulates the online load of a deployment whose targets differ, or have just started, without a network.
//!
//! Nodes of unequal size see one another's load in reports that arrive late. Targets admit requests in order of arrival.

use std::collections::{HashMap, VecDeque};

use eel_fleet::{
    AttemptOutcome, Decision, Dispatcher, FIRST_OUTPUT_MS, Observation, PeerReport, Placement,
    TargetEntry, TargetKey, TicketKey, WorkKind,
};
use eel_types::Name;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::fixture::{SERVICE, arrival, target};

pub const SEED: u64 = 23;
const SLOTS: u32 = 8;
/// The work of a request at a target of speed 1, in ms, and how much of it precedes the first event.
const WORK_MS: f64 = 520.0;
const FIRST_WORK_MS: f64 = 80.0;
/// The number of gaps between the events of a stream.
const EVENT_GAPS: u64 = 30;
const GOAL_MS: u64 = 300;
/// The time between two reports of a node, and how long each is on its way.
const REPORT_INTERVAL_MS: u64 = 20;
const REPORT_DELAY_MS: u64 = 5;
const PHASE_MS: u64 = 600;
/// How long a target is cold after a start, and its speed meanwhile.
const COLD_MS: u64 = 3_000;
const COLD_SPEED: f64 = 0.2;

/// How targets are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// As this crate does with the given settings.
    Fleet(Placement),
    /// The less loaded of two random targets.
    TwoChoices,
    /// The target with the least requests in flight in view of its true speed.
    ShortestDelay,
    /// A target that has started gets a chance that grows with time for the given number of ms.
    FixedRamp(u64),
    /// Each node has a window at a target that has started: one more for each response, half for a late one.
    AddOne,
}

/// A change of the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new incarnation that is cold at first.
    Restart,
    /// The target fails what it has and all that it gets.
    Crash,
    /// It runs again, and is cold.
    Recover,
    /// It is ten times slower from now on.
    Slow,
}

#[derive(Clone, Debug)]
pub struct Shape {
    /// The relative rate of each node.
    pub nodes: Vec<f64>,
    /// The speed of each target.
    pub speeds: Vec<f64>,
    pub slow_percent: u32,
    pub mean_per_s: f64,
    pub duration_ms: u64,
    /// When which targets change.
    pub changes: Vec<(u64, std::ops::Range<usize>, Change)>,
}

struct Attempt {
    node: usize,
    key: TargetKey,
    arrived_ms: u64,
    sent_ms: u64,
    first_ms: Option<u64>,
    done: f64,
}

struct Engine {
    entry: TargetEntry,
    speed: f64,
    cold_until_ms: u64,
    is_down: bool,
    is_slow: bool,
    attempts: VecDeque<Attempt>,
}

#[derive(Default)]
pub struct Outcome {
    /// The time of arrival, the target and whether the first event was in time, of each request that got one.
    pub served: Vec<(u64, usize, bool)>,
    pub rejected: Vec<u64>,
    pub failed: u32,
    /// Requests sent to a target whose slots were in use.
    pub overshot: u32,
}

pub struct Simulation {
    shape: Shape,
    policy: Policy,
    rng: SmallRng,
    nodes: Vec<Dispatcher>,
    keys: Vec<Vec<TargetKey>>,
    engines: Vec<Engine>,
    /// What each node has reported of its load at each target.
    reported: Vec<Vec<u32>>,
    reported_ms: Vec<u64>,
    in_transit: VecDeque<(u64, usize, Vec<u32>, PeerReport)>,
    /// When the requests arrived that wait at each node.
    waiting: Vec<HashMap<TicketKey, u64>>,
    windows: Vec<Vec<f64>>,
    sequence: u64,
    outcome: Outcome,
}

impl Shape {
    /// Deployment A: 8 nodes, 47 targets that are alike.
    pub fn alike() -> Self {
        Self {
            nodes: vec![1.0; 8],
            speeds: vec![1.0; 47],
            slow_percent: 0,
            mean_per_s: 277.0,
            duration_ms: 30_000,
            changes: Vec::new(),
        }
    }

    /// Deployment B: 20 unequal nodes, 44 targets of three speeds with slow phases.
    pub fn uneven() -> Self {
        Self {
            nodes: (0..20).map(|it| 0.068 + 0.0227 * f64::from(it)).collect(),
            speeds: (0..44).map(|it| [0.6, 1.0, 1.6][it % 3]).collect(),
            slow_percent: 15,
            mean_per_s: 263.0,
            ..Self::alike()
        }
    }

    /// Returns the rate of requests: 3.6 s at the low rate, then a burst of 2.4 s.
    fn rate_per_ms(&self, now_ms: u64) -> f64 {
        let step = [0.39, 1.91][usize::from(now_ms % 6_000 >= 3_600)];
        self.mean_per_s * step / 1_000.0
    }
}

impl Simulation {
    pub fn run(shape: &Shape, policy: Policy) -> Outcome {
        let engines: Vec<Engine> = (0..)
            .zip(&shape.speeds)
            .map(|(number, &speed): (usize, _)| Engine {
                entry: target(&format!("t{number}"), "dc-a", SLOTS),
                speed,
                cold_until_ms: 0,
                is_down: false,
                is_slow: false,
                attempts: VecDeque::new(),
            })
            .collect();
        let nodes = shape.nodes.len();
        let mut simulation = Self {
            shape: shape.clone(),
            policy,
            rng: SmallRng::seed_from_u64(SEED),
            nodes: (0..nodes).map(|_| Dispatcher::new("dc-a".into())).collect(),
            keys: vec![Vec::new(); nodes],
            reported: vec![vec![0; engines.len()]; nodes],
            waiting: vec![HashMap::new(); nodes],
            windows: vec![vec![f64::MAX; engines.len()]; nodes],
            engines,
            reported_ms: vec![0; nodes],
            in_transit: VecDeque::new(),
            sequence: 0,
            outcome: Outcome::default(),
        };
        for node in 0..nodes {
            if let Policy::Fleet(placement) = policy {
                simulation.nodes[node]
                    .selector_mut()
                    .set_placement(placement);
            }
            for target in 0..simulation.engines.len() {
                simulation.keys[node].push(TargetKey::default());
                simulation.list(0, node, target);
            }
        }
        for now_ms in 0..shape.duration_ms {
            simulation.tick(now_ms);
        }
        simulation.outcome
    }

    fn list(&mut self, now_ms: u64, node: usize, target: usize) {
        let entry = self.engines[target].entry.clone();
        let selector = self.nodes[node].selector_mut();
        let incarnation = entry.incarnation();
        selector.list_target(now_ms, entry);
        self.keys[node][target] = selector.key_of(incarnation).expect("a listed target");
    }

    fn tick(&mut self, now_ms: u64) {
        for (at_ms, targets, change) in self.shape.changes.clone() {
            if at_ms == now_ms {
                targets.for_each(|it| self.change(now_ms, it, change));
            }
        }
        self.deliver(now_ms);
        self.run_engines(now_ms);
        let rate_per_ms = self.shape.rate_per_ms(now_ms);
        for _ in 0..2 {
            if self.rng.random_bool(rate_per_ms / 2.0) {
                self.arrive(now_ms);
            }
        }
        for node in 0..self.nodes.len() {
            for dequeued in self.nodes[node].dispatch_waiting(now_ms) {
                let arrived_ms = self.waiting[node].remove(&dequeued.ticket);
                let arrived_ms = arrived_ms.expect("a waiting request");
                match dequeued.outcome {
                    Ok(key) => self.send(now_ms, node, key, arrived_ms),
                    Err(_) => self.outcome.rejected.push(arrived_ms),
                }
            }
        }
        self.report(now_ms);
    }

    fn change(&mut self, now_ms: u64, target: usize, change: Change) {
        let engine = &mut self.engines[target];
        match change {
            Change::Restart => {
                engine.entry.started_unix_ms = Some(now_ms);
                engine.cold_until_ms = now_ms + COLD_MS;
                self.fail_all(now_ms, target);
                for node in 0..self.nodes.len() {
                    self.windows[node][target] = 1.0;
                    self.list(now_ms, node, target);
                }
            }
            Change::Crash => {
                engine.is_down = true;
                self.fail_all(now_ms, target);
            }
            Change::Recover => {
                engine.is_down = false;
                engine.cold_until_ms = now_ms + COLD_MS;
            }
            Change::Slow => engine.speed /= 10.0,
        }
    }

    fn fail_all(&mut self, now_ms: u64, target: usize) {
        for attempt in std::mem::take(&mut self.engines[target].attempts) {
            self.end(now_ms, &attempt, AttemptOutcome::Failed);
        }
    }

    fn end(&mut self, now_ms: u64, attempt: &Attempt, outcome: AttemptOutcome) {
        let run_time_ms = now_ms - attempt.sent_ms;
        self.outcome.failed += u32::from(outcome == AttemptOutcome::Failed);
        let work = WorkKind::Online;
        let node = &mut self.nodes[attempt.node];
        node.end(now_ms, SERVICE, attempt.key, work, outcome, run_time_ms);
    }

    /// Returns the number of requests at a target that a node knows of.
    fn seen(&self, node: usize, target: usize) -> u32 {
        let attempts = self.engines[target].attempts.iter();
        let own = attempts.filter(|it| it.node == node).count();
        let peers = self.reported.iter().enumerate();
        let peers = peers.filter(|(peer, _)| *peer != node);
        peers.map(|(_, it)| it[target]).sum::<u32>() + u32::try_from(own).expect("a count")
    }

    /// Returns the targets that the policy does not choose; the rank decides among the others.
    fn excluded(&mut self, now_ms: u64, node: usize) -> Vec<usize> {
        let all = 0..self.engines.len();
        let free = |it: &Self, target| it.seen(node, target) < SLOTS;
        let chosen = match self.policy {
            Policy::Fleet(_) => return Vec::new(),
            Policy::TwoChoices => {
                let open: Vec<usize> = all.clone().filter(|&it| free(self, it)).collect();
                let two = [(); 2].map(|()| open.get(self.rng.random_range(0..open.len().max(1))));
                let two = two.into_iter().flatten();
                two.min_by_key(|&&it| self.seen(node, it)).copied()
            }
            Policy::ShortestDelay => {
                let open = all.clone().filter(|&it| free(self, it));
                let delay = |it: usize| f64::from(self.seen(node, it) + 1) / self.engines[it].speed;
                open.min_by(|&one, &other| delay(one).total_cmp(&delay(other)))
            }
            Policy::FixedRamp(ramp_ms) => {
                let started = |it: usize| self.engines[it].cold_until_ms.saturating_sub(COLD_MS);
                let is_open = |at_ms: u64, draw: u64| at_ms == 0 || now_ms - at_ms >= draw;
                let draw = self.rng.random_range(0..ramp_ms);
                return all.filter(|&it| !is_open(started(it), draw)).collect();
            }
            Policy::AddOne => {
                let is_full = |it: usize| {
                    let attempts = self.engines[it].attempts.iter();
                    let own = attempts.filter(|it| it.node == node).count();
                    f64::from(u32::try_from(own).expect("a count")) >= self.windows[node][it]
                };
                return all.filter(|&it| is_full(it)).collect();
            }
        };
        all.filter(|&it| chosen.is_some_and(|chosen| it != chosen))
            .collect()
    }

    fn arrive(&mut self, now_ms: u64) {
        let total: f64 = self.shape.nodes.iter().sum();
        let mut left = self.rng.random_range(0.0..total);
        let nodes = &self.shape.nodes;
        let node = nodes.iter().position(|it| {
            left -= it;
            left < 0.0
        });
        let node = node.unwrap_or(0);
        let excluded = self.excluded(now_ms, node);
        let service = Name::from(SERVICE);
        let start_by_ms = now_ms + GOAL_MS - FIRST_OUTPUT_MS;
        let mut arrival = arrival(&service, start_by_ms, now_ms + 5_000);
        arrival.tie_breaker = self.rng.random();
        arrival.excluded = excluded.iter().map(|&it| self.keys[node][it]).collect();
        match self.nodes[node].arrive(now_ms, arrival) {
            Decision::Start(key) => self.send(now_ms, node, key, now_ms),
            Decision::Wait(ticket) => {
                self.waiting[node].insert(ticket, now_ms);
            }
            Decision::Reject(_) => self.outcome.rejected.push(now_ms),
        }
    }

    fn send(&mut self, now_ms: u64, node: usize, key: TargetKey, arrived_ms: u64) {
        let target = self.keys[node].iter().position(|it| *it == key);
        let target = target.expect("a listed target");
        let attempt = Attempt {
            node,
            key,
            arrived_ms,
            sent_ms: now_ms,
            first_ms: None,
            done: 0.0,
        };
        let engine = &mut self.engines[target];
        if engine.is_down {
            self.end(now_ms, &attempt, AttemptOutcome::Failed);
            return;
        }
        self.outcome.overshot += u32::from(engine.attempts.len() >= SLOTS as usize);
        engine.attempts.push_back(attempt);
    }

    fn run_engines(&mut self, now_ms: u64) {
        for target in 0..self.engines.len() {
            let engine = &mut self.engines[target];
            if now_ms.is_multiple_of(PHASE_MS) {
                engine.is_slow = self.rng.random_ratio(self.shape.slow_percent, 100);
            }
            let mut rate = engine.speed / if engine.is_slow { 2.5 } else { 1.0 };
            if now_ms < engine.cold_until_ms {
                rate *= COLD_SPEED;
            }
            let running = engine.attempts.iter_mut().take(SLOTS as usize);
            for attempt in running {
                attempt.done += rate;
                if attempt.first_ms.is_some() || attempt.done < FIRST_WORK_MS {
                    continue;
                }
                attempt.first_ms = Some(now_ms);
                let is_in_time = now_ms <= attempt.arrived_ms + GOAL_MS;
                let served = (attempt.arrived_ms, target, is_in_time);
                self.outcome.served.push(served);
                let window = &mut self.windows[attempt.node][target];
                *window = if is_in_time {
                    *window + 1.0
                } else {
                    (*window / 2.0).max(1.0)
                };
                let selector = self.nodes[attempt.node].selector_mut();
                selector.on_response(attempt.key);
                let us = (now_ms - attempt.sent_ms) * 1_000;
                selector.observe(now_ms, attempt.key, Observation::FirstEventUs(us));
            }
            let is_done = |it: &Attempt| it.done >= WORK_MS;
            while let Some(at) = self.engines[target].attempts.iter().position(is_done) {
                let attempt = self.engines[target]
                    .attempts
                    .remove(at)
                    .expect("an attempt");
                let events_ms = now_ms - attempt.first_ms.unwrap_or(now_ms);
                let pace = Observation::PaceUs(events_ms * 1_000 / EVENT_GAPS);
                let selector = self.nodes[attempt.node].selector_mut();
                selector.observe(now_ms, attempt.key, pace);
                self.end(now_ms, &attempt, AttemptOutcome::Answered);
            }
        }
    }

    fn report(&mut self, now_ms: u64) {
        for sender in 0..self.nodes.len() {
            let node = &self.nodes[sender];
            if now_ms < self.reported_ms[sender] + REPORT_INTERVAL_MS {
                continue;
            }
            self.reported_ms[sender] = now_ms;
            self.sequence += 1;
            let counts = self.engines.iter().map(|it| {
                let own = it.attempts.iter().filter(|it| it.node == sender);
                u32::try_from(own.count()).expect("a count")
            });
            let report = PeerReport {
                sender: sender as u64,
                sequence: self.sequence,
                targets: node.selector().own_loads(),
                waiting: node.own_waiting(now_ms),
                ..PeerReport::default()
            };
            let at_ms = now_ms + REPORT_DELAY_MS;
            self.in_transit
                .push_back((at_ms, sender, counts.collect(), report));
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        while self.in_transit.front().is_some_and(|it| it.0 <= now_ms)
            && let Some((_, sender, counts, report)) = self.in_transit.pop_front()
        {
            self.reported[sender] = counts;
            for (number, node) in self.nodes.iter_mut().enumerate() {
                if number != sender {
                    node.on_report(now_ms, &report);
                }
            }
        }
    }
}

impl Outcome {
    /// Returns how many of 1,000 requests that arrived in the span got their first event in time.
    pub fn in_time_per_1000(&self, span: std::ops::Range<u64>) -> usize {
        let served = self.served.iter().filter(|it| span.contains(&it.0));
        let in_time = served.clone().filter(|it| it.2).count();
        let rejected = self.rejected.iter().filter(|it| span.contains(it));
        1_000 * in_time / (served.count() + rejected.count()).max(1)
    }

    /// Returns how many requests that arrived in the span these targets served.
    pub fn served_by(
        &self,
        span: &std::ops::Range<u64>,
        targets: &std::ops::Range<usize>,
    ) -> usize {
        let served = self.served.iter();
        let served = served.filter(|it| span.contains(&it.0) && targets.contains(&it.1));
        served.count()
    }
}
