//! Simulates bursts of online requests over batch load, with several nodes that see each other's load late.
//!
//! Three nodes take online requests at rates that step by a factor of five; three others fill idle slots with batch
//! items. Targets admit requests in order of arrival. The tests guard against bursts that miss the latency goal, a
//! first response within 300 ms, because batch items or stale load reports keep requests waiting.

use std::collections::VecDeque;

use eel_fleet::{
    AttemptOutcome, Decision, Dispatcher, PeerReport, TargetKey, TargetQuery, TargetSelector,
    WorkKind, report_interval_ms,
};
use eel_types::Name;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::fixture::{SERVICE, arrival, query, target};

const SLOTS: u32 = 8;
const ONLINE_RUN_MS: u64 = 720;
const BATCH_RUN_MS: u64 = 5_000;
const FIRST_RESPONSE_MS: u64 = 20;
const GOAL_MS: u64 = 300;
const REPORT_DELAY_MS: u64 = 2;
const MAX_DATAGRAM_BYTES: usize = 1_400;
const SEED: u64 = 11;
/// The data centres, each with an equal part of the nodes and targets.
const DATA_CENTRES: [&str; 5] = ["dc-a", "dc-b", "dc-c", "dc-d", "dc-e"];

/// The size of a simulated fleet and its load.
#[derive(Clone, Copy, Debug)]
struct Shape {
    data_centres: usize,
    online_nodes: usize,
    batch_nodes: usize,
    targets: usize,
    /// The rates of online requests before and during a burst.
    online_per_s: [f64; 2],
    /// The number of sources, each of which sends at most one request a millisecond.
    sources: u32,
    duration_ms: u64,
}

const SMALL: Shape = Shape {
    data_centres: 3,
    online_nodes: 3,
    batch_nodes: 3,
    targets: 12,
    online_per_s: [21.0, 103.0],
    sources: 1,
    duration_ms: 24_000,
};

/// 36 nodes before 160 targets. As in the small fleet, a burst needs 77 of 100 slots.
const LARGE: Shape = Shape {
    data_centres: 5,
    online_nodes: 36,
    batch_nodes: 5,
    targets: 160,
    online_per_s: [280.0, 1_370.0],
    sources: 2,
    duration_ms: 6_000,
};

impl Shape {
    /// Returns the rate of online requests: 3.6 s at the low rate, then a burst of 2.4 s.
    fn rate_per_s(&self, now_ms: u64) -> f64 {
        self.online_per_s[usize::from(now_ms % 6_000 >= 3_600)]
    }

    fn data_centre(&self, number: usize) -> &'static str {
        DATA_CENTRES[number % self.data_centres]
    }
}

/// How requests are placed, and whether batch items are cancelled for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Send each request at once to a random target, in whose queue it waits.
    AnyTarget,
    /// Send each request at once to the target with the fewest in flight, known without delay; it waits in that queue.
    LeastInFlight,
    /// Place requests as this crate does, but never cancel batch items.
    WithoutCancellation,
    /// Place requests as this crate does, but without an order among batch nodes for idle slots.
    WithoutOrder,
    /// Place requests as this crate does.
    Fleet,
}

struct Attempt {
    node: usize,
    key: TargetKey,
    arrived_ms: u64,
    work: WorkKind,
    ends_ms: Option<u64>,
}

/// A target, which runs attempts in order of arrival.
#[derive(Default)]
struct Engine {
    attempts: VecDeque<Attempt>,
}

struct Simulation {
    shape: Shape,
    policy: Policy,
    /// When each node sent its last report, the batch nodes first.
    reported_ms: Vec<u64>,
    datagrams: usize,
    overshot: u32,
    rng: SmallRng,
    online_nodes: Vec<Dispatcher>,
    /// The targets' keys at each online node, in the order of the targets' numbers.
    online_keys: Vec<Vec<TargetKey>>,
    batch_nodes: Vec<TargetSelector>,
    engines: Vec<Engine>,
    reports_in_transit: VecDeque<(u64, PeerReport)>,
    sequence: u64,
    latencies_ms: Vec<u64>,
    rejected: u32,
    cancelled: u32,
    batch_done: u32,
    /// The total time that batch items held slots. A cancelled item counts, since it resumes where it stopped.
    batch_run_ms: u64,
}

impl Simulation {
    fn new(shape: Shape, policy: Policy) -> Self {
        let names: Vec<Name> = (0..shape.batch_nodes)
            .map(|it| format!("batch-{it}").into())
            .collect();
        let entries =
            || (0..shape.targets).map(|it| target(&format!("t{it}"), shape.data_centre(it), SLOTS));
        let online_nodes = (0..shape.online_nodes).map(|number| {
            let mut dispatcher = Dispatcher::new(shape.data_centre(number).into());
            entries().for_each(|entry| dispatcher.selector_mut().set_target(entry));
            dispatcher
        });
        let online_nodes: Vec<Dispatcher> = online_nodes.collect();
        let batch_nodes = names.iter().map(|own| {
            let mut selector = TargetSelector::default();
            entries().for_each(|entry| selector.set_target(entry));
            let others: Vec<Name> = names
                .iter()
                .filter(|it| *it != own && policy != Policy::WithoutOrder)
                .cloned()
                .collect();
            selector.set_batch_nodes(own, &others);
            selector
        });
        Self {
            shape,
            policy,
            reported_ms: vec![0; shape.batch_nodes + shape.online_nodes],
            datagrams: 0,
            overshot: 0,
            rng: SmallRng::seed_from_u64(SEED),
            online_keys: online_nodes.iter().map(|it| keys(it.selector())).collect(),
            batch_nodes: batch_nodes.collect(),
            online_nodes,
            engines: (0..shape.targets).map(|_| Engine::default()).collect(),
            reports_in_transit: VecDeque::new(),
            sequence: 0,
            latencies_ms: Vec::new(),
            rejected: 0,
            cancelled: 0,
            batch_done: 0,
            batch_run_ms: 0,
        }
    }

    fn run(mut self) -> Self {
        for now_ms in 0..self.shape.duration_ms {
            self.deliver(now_ms);
            self.finish(now_ms);
            let sources = self.shape.sources;
            for _ in 0..sources {
                let rate_per_ms = self.shape.rate_per_s(now_ms) / 1_000.0;
                if self.rng.random_bool(rate_per_ms / f64::from(sources)) {
                    self.arrive(now_ms);
                }
            }
            self.dispatch_queued(now_ms);
            self.run_batch(now_ms);
            self.admit(now_ms);
            self.send_reports(now_ms);
        }
        self
    }

    fn arrive(&mut self, now_ms: u64) {
        let node = self.rng.random_range(0..self.online_nodes.len());
        if let Some(target) = self.target_without_queue() {
            let selector = self.online_nodes[node].selector_mut();
            let key = self.online_keys[node][target];
            selector.start(now_ms, key, WorkKind::Online);
            self.send(node, key, now_ms);
            return;
        }
        let service = Name::from(SERVICE);
        let mut arrival = arrival(
            &service,
            now_ms + GOAL_MS - FIRST_RESPONSE_MS,
            now_ms + 5_000,
        );
        arrival.tie_breaker = self.rng.random();
        match self.online_nodes[node].arrive(now_ms, arrival) {
            Decision::Start(key) => self.send(node, key, now_ms),
            Decision::Wait(_) => {}
            Decision::Reject(_) => self.rejected += 1,
        }
    }

    /// Returns the target to send a request to at once; `None` if the policy queues requests in the nodes.
    fn target_without_queue(&mut self) -> Option<usize> {
        match self.policy {
            Policy::AnyTarget => Some(self.rng.random_range(0..self.shape.targets)),
            Policy::LeastInFlight => {
                (0..self.shape.targets).min_by_key(|&target| self.engines[target].attempts.len())
            }
            Policy::WithoutCancellation | Policy::WithoutOrder | Policy::Fleet => None,
        }
    }

    fn dispatch_queued(&mut self, now_ms: u64) {
        for node in 0..self.online_nodes.len() {
            for dequeued in self.online_nodes[node].dispatch_waiting(now_ms) {
                match dequeued.outcome {
                    Ok(key) => self.send(node, key, now_ms),
                    Err(_) => self.rejected += 1,
                }
            }
        }
    }

    fn send(&mut self, node: usize, key: TargetKey, now_ms: u64) {
        let engine = index_of(self.online_nodes[node].selector(), key);
        let attempt = Attempt {
            node,
            key,
            arrived_ms: now_ms,
            work: WorkKind::Online,
            ends_ms: None,
        };
        let online = self.engines[engine].attempts.iter();
        let online = online.filter(|it| it.work == WorkKind::Online).count();
        self.overshot += u32::from(online >= SLOTS as usize);
        self.engines[engine].attempts.push_back(attempt);
    }

    /// Lets the batch nodes cancel items whose slots online requests need, and start items in idle slots.
    fn run_batch(&mut self, now_ms: u64) {
        for node in 0..self.batch_nodes.len() {
            if matches!(self.policy, Policy::Fleet | Policy::WithoutOrder) {
                self.cancel_excess(now_ms, node);
            }
            while self.batch_nodes[node].has_batch_room(now_ms, SERVICE)
                && let Some(key) =
                    self.batch_nodes[node].choose(now_ms, SERVICE, &query(WorkKind::Batch))
            {
                self.batch_nodes[node].start(now_ms, key, WorkKind::Batch);
                let engine = index_of(&self.batch_nodes[node], key);
                let attempt = Attempt {
                    node,
                    key,
                    arrived_ms: now_ms,
                    work: WorkKind::Batch,
                    ends_ms: None,
                };
                self.engines[engine].attempts.push_back(attempt);
            }
        }
    }

    fn cancel_excess(&mut self, now_ms: u64, node: usize) {
        let held: Vec<TargetKey> = self
            .engines
            .iter()
            .flat_map(|it| &it.attempts)
            .filter(|it| it.is_batch_of(node))
            .map(|it| it.key)
            .collect();
        for key in held {
            let selector = &mut self.batch_nodes[node];
            if selector.excess_batch(now_ms, key, node as u64) > 0 {
                let attempts = &mut self.engines[index_of(selector, key)].attempts;
                let youngest = attempts.iter().rposition(|it| it.is_batch_of(node));
                let attempt = youngest.and_then(|at| attempts.remove(at));
                let attempt = attempt.expect("the node runs an item at the target");
                if let Some(ends_ms) = attempt.ends_ms {
                    self.batch_run_ms += BATCH_RUN_MS - (ends_ms - now_ms);
                }
                selector.end(now_ms, key, WorkKind::Batch, AttemptOutcome::Cancelled);
                self.cancelled += 1;
            }
        }
    }

    fn admit(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            for attempt in engine
                .attempts
                .iter_mut()
                .take(SLOTS as usize)
                .filter(|it| it.ends_ms.is_none())
            {
                let run_ms = if attempt.work == WorkKind::Online {
                    ONLINE_RUN_MS
                } else {
                    BATCH_RUN_MS
                };
                attempt.ends_ms = Some(now_ms + run_ms);
                if attempt.work == WorkKind::Online {
                    self.latencies_ms
                        .push(now_ms - attempt.arrived_ms + FIRST_RESPONSE_MS);
                }
            }
        }
    }

    fn finish(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            let (done, open) = engine
                .attempts
                .drain(..)
                .partition(|attempt: &Attempt| attempt.ends_ms == Some(now_ms));
            engine.attempts = open;
            for attempt in done {
                let outcome = AttemptOutcome::Answered;
                match attempt.work {
                    WorkKind::Online => self.online_nodes[attempt.node].end(
                        now_ms,
                        SERVICE,
                        attempt.key,
                        attempt.work,
                        outcome,
                        ONLINE_RUN_MS,
                    ),
                    WorkKind::Batch => {
                        self.batch_nodes[attempt.node].end(
                            now_ms,
                            attempt.key,
                            attempt.work,
                            outcome,
                        );
                        self.batch_done += 1;
                        self.batch_run_ms += BATCH_RUN_MS;
                    }
                }
            }
        }
    }

    fn send_reports(&mut self, now_ms: u64) {
        self.sequence += 1;
        let receivers = self.reported_ms.len() - 1;
        for sender in 0..self.reported_ms.len() {
            let batch = self.batch_nodes.get(sender);
            let online = &self.online_nodes[sender.saturating_sub(self.batch_nodes.len())];
            let is_busy =
                batch.map_or_else(|| online.is_busy(now_ms), |batch| batch.is_busy(now_ms));
            let interval_ms = report_interval_ms(receivers, is_busy);
            if now_ms < self.reported_ms[sender] + interval_ms {
                continue;
            }
            self.reported_ms[sender] = now_ms;
            let report = PeerReport {
                sender: sender as u64,
                sequence: self.sequence,
                targets: batch
                    .map_or_else(|| online.selector().own_loads(), TargetSelector::own_loads),
                waiting: batch.map_or_else(|| online.own_waiting(now_ms), |_| Vec::new()),
                ..PeerReport::default()
            };
            for part in report.split(MAX_DATAGRAM_BYTES) {
                self.datagrams += receivers;
                self.reports_in_transit
                    .push_back((now_ms + REPORT_DELAY_MS, part));
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        while self
            .reports_in_transit
            .front()
            .is_some_and(|(at_ms, _)| *at_ms <= now_ms)
        {
            let Some((_, report)) = self.reports_in_transit.pop_front() else {
                return;
            };
            let batch_nodes = self.batch_nodes.len() as u64;
            for (node, selector) in (0..).zip(&mut self.batch_nodes) {
                if node != report.sender {
                    selector.on_report(now_ms, &report);
                }
            }
            for (node, dispatcher) in (0..).zip(&mut self.online_nodes) {
                if node + batch_nodes != report.sender {
                    dispatcher.on_report(now_ms, &report);
                }
            }
        }
    }

    /// Returns how many of 1,000 requests got their first response within the goal, counting rejected ones as late.
    fn in_time_per_1000(&self) -> usize {
        let in_time = self
            .latencies_ms
            .iter()
            .filter(|ms| **ms <= GOAL_MS)
            .count();
        let all = self.latencies_ms.len() + self.rejected as usize;
        1_000 * in_time / all
    }
}

impl Attempt {
    fn is_batch_of(&self, node: usize) -> bool {
        self.work == WorkKind::Batch && self.node == node
    }
}

fn index_of(selector: &TargetSelector, key: TargetKey) -> usize {
    let entry = selector.entry(key).expect("a target");
    entry.id[1..].parse().expect("a number")
}

/// Returns the keys of all targets in the order of their numbers; all targets must be idle.
fn keys(selector: &TargetSelector) -> Vec<TargetKey> {
    let mut keys = Vec::new();
    loop {
        let query = TargetQuery {
            excluded: &keys,
            only_limited: false,
            ..query(WorkKind::Online)
        };
        let Some(key) = selector.choose(0, SERVICE, &query) else {
            break;
        };
        keys.push(key);
    }
    keys.sort_by_key(|key| index_of(selector, *key));
    keys
}

#[test]
fn bursts_over_batch() {
    println!("seed {SEED}");
    let simulation = Simulation::new(SMALL, Policy::Fleet).run();
    assert!(
        simulation.latencies_ms.len() > 1_000,
        "the simulation ran the load"
    );
    assert!(
        simulation.batch_done > 0,
        "batch items ran beside the online requests"
    );
    // A burst needs 74 of 96 slots, so every request can start in time.
    let in_time = simulation.in_time_per_1000();
    assert!(
        in_time >= 990,
        "{in_time} of 1,000 in time, {} rejected, {} cancelled",
        simulation.rejected,
        simulation.cancelled
    );
}

#[test]
fn bursts_before_a_large_fleet() {
    println!("seed {SEED}");
    let simulation = Simulation::new(LARGE, Policy::Fleet).run();
    let online = simulation.latencies_ms.len();
    assert!(online > 3_000, "the simulation ran the load: {online}");
    assert!(
        simulation.batch_run_ms > 0,
        "batch items ran beside the online requests"
    );
    let in_time = simulation.in_time_per_1000();
    println!(
        "{in_time} of 1,000 in time, {} rejected, {} sent to a target without a slot, {} datagrams, {} items cancelled",
        simulation.rejected, simulation.overshot, simulation.datagrams, simulation.cancelled
    );
    assert!(in_time >= 990, "{in_time} of 1,000 in time");
}

#[test]
fn order_reduces_cancellations() {
    println!("seed {SEED}");
    let with = Simulation::new(SMALL, Policy::Fleet).run();
    let without = Simulation::new(SMALL, Policy::WithoutOrder).run();
    assert!(
        with.cancelled < without.cancelled,
        "items cancelled with an order among nodes: {}, without: {}",
        with.cancelled,
        without.cancelled
    );
}

#[test]
fn policies_compared() {
    println!(
        "seed {SEED}\n| policy | in time, of 1,000 | rejected | slot-seconds of batch | cancelled |"
    );
    let [any, least, without_cancellation, without_order, fleet] = [
        Policy::AnyTarget,
        Policy::LeastInFlight,
        Policy::WithoutCancellation,
        Policy::WithoutOrder,
        Policy::Fleet,
    ]
    .map(|policy| {
        let simulation = Simulation::new(SMALL, policy).run();
        let (in_time, rejected) = (simulation.in_time_per_1000(), simulation.rejected);
        let (batch_s, cancelled) = (simulation.batch_run_ms / 1_000, simulation.cancelled);
        println!("| {policy:?} | {in_time} | {rejected} | {batch_s} | {cancelled} |");
        in_time
    });
    for other in [any, least, without_cancellation] {
        assert!(
            fleet > other,
            "{fleet} of 1,000 in time with the crate's policy, {other} with another one"
        );
    }
    assert!(
        fleet >= without_order,
        "the order among batch nodes must not delay online requests"
    );
}
