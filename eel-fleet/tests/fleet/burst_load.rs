//! Plays bursts of online requests over batch, with several nodes that see one another's load late.
//!
//! Three nodes take online requests in steps of five to one, three others fill what is idle with batch items. Targets
//! admit in order of arrival. What counts is what callers get: a first answer within 300 ms.

use std::collections::VecDeque;

use eel_fleet::{
    AttemptOutcome, Decision, Dispatcher, PeerReport, TargetKey, TargetQuery, TargetSelector,
    WorkKind,
};
use eel_types::Name;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::fixture::{SERVICE, arrival, query, target};

const TARGETS: usize = 12;
const SLOTS: u32 = 8;
const ONLINE_RUN_MS: u64 = 720;
const BATCH_RUN_MS: u64 = 5_000;
const FIRST_ANSWER_MS: u64 = 20;
const GOAL_MS: u64 = 300;
const REPORT_EVERY_MS: u64 = 4;
const REPORT_DELAY_MS: u64 = 2;
const PLAYED_MS: u64 = 24_000;
const SEED: u64 = 11;
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Online requests a second: 3.6 s of calm, then 2.4 s of burst.
fn online_per_s(now_ms: u64) -> f64 {
    if now_ms % 6_000 < 3_600 { 21.0 } else { 103.0 }
}

/// How requests are placed, and whether batch makes room for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Any target, at once; it waits in the target's queue.
    AnyTarget,
    /// The target with the least in flight, known without delay; it waits in the target's queue.
    LeastInFlight,
    /// As this crate places them, but batch keeps its slots.
    BatchKeeps,
    /// As this crate places them, but batch nodes take idle slots without turns.
    WithoutTurns,
    /// As this crate places them.
    Fleet,
}

struct Job {
    node: usize,
    key: TargetKey,
    arrived_ms: u64,
    work: WorkKind,
    ends_ms: Option<u64>,
}

/// Runs jobs in order of arrival.
#[derive(Default)]
struct Engine {
    jobs: VecDeque<Job>,
}

struct World {
    policy: Policy,
    rng: SmallRng,
    fronts: Vec<Dispatcher>,
    /// The targets' keys at each front, by their numbers.
    front_keys: Vec<Vec<TargetKey>>,
    workers: Vec<TargetSelector>,
    engines: Vec<Engine>,
    mail: VecDeque<(u64, PeerReport)>,
    sequence: u64,
    latencies_ms: Vec<u64>,
    rejected: u32,
    cut: u32,
    batch_done: u32,
    /// How long batch ran in slots; an item that is broken off goes on later where it was.
    batch_run_ms: u64,
}

impl World {
    fn new(policy: Policy) -> Self {
        let names = ["batch-a", "batch-b", "batch-c"].map(Name::from);
        let entries =
            || (0..TARGETS).map(|it| target(&format!("t{it}"), DATA_CENTRES[it % 3], SLOTS));
        let fronts = DATA_CENTRES.map(|data_centre| {
            let mut front = Dispatcher::new(data_centre.into());
            entries().for_each(|entry| front.selector_mut().set_target(entry));
            front
        });
        let workers = names.clone().map(|own| {
            let mut selector = TargetSelector::default();
            entries().for_each(|entry| selector.set_target(entry));
            let others: Vec<Name> = names
                .iter()
                .filter(|it| **it != own && policy != Policy::WithoutTurns)
                .cloned()
                .collect();
            selector.set_batch_nodes(&own, &others);
            selector
        });
        Self {
            policy,
            rng: SmallRng::seed_from_u64(SEED),
            front_keys: fronts.iter().map(|it| keys(it.selector())).collect(),
            fronts: fronts.into(),
            workers: workers.into(),
            engines: (0..TARGETS).map(|_| Engine::default()).collect(),
            mail: VecDeque::new(),
            sequence: 0,
            latencies_ms: Vec::new(),
            rejected: 0,
            cut: 0,
            batch_done: 0,
            batch_run_ms: 0,
        }
    }

    fn play(mut self) -> Self {
        for now_ms in 0..PLAYED_MS {
            self.deliver(now_ms);
            self.finish(now_ms);
            if self.rng.random_bool(online_per_s(now_ms) / 1_000.0) {
                self.arrive(now_ms);
            }
            self.pump(now_ms);
            self.fill(now_ms);
            self.admit(now_ms);
            if now_ms % REPORT_EVERY_MS == 0 {
                self.send_reports(now_ms);
            }
        }
        self
    }

    fn arrive(&mut self, now_ms: u64) {
        let node = self.rng.random_range(0..self.fronts.len());
        if let Some(target) = self.target_without_queue() {
            let selector = self.fronts[node].selector_mut();
            let key = self.front_keys[node][target];
            selector.start(now_ms, key, WorkKind::Online);
            self.send(node, key, now_ms);
            return;
        }
        let service = Name::from(SERVICE);
        let mut arrival = arrival(&service, now_ms + GOAL_MS - FIRST_ANSWER_MS, now_ms + 5_000);
        arrival.tie_breaker = self.rng.random();
        match self.fronts[node].arrive(now_ms, arrival) {
            Decision::Start(key) => self.send(node, key, now_ms),
            Decision::Wait(_) => {}
            Decision::Reject(_) => self.rejected += 1,
        }
    }

    /// Returns the target to send to at once, where the policy keeps no queue in the nodes.
    fn target_without_queue(&mut self) -> Option<usize> {
        match self.policy {
            Policy::AnyTarget => Some(self.rng.random_range(0..TARGETS)),
            Policy::LeastInFlight => {
                (0..TARGETS).min_by_key(|&target| self.engines[target].jobs.len())
            }
            Policy::BatchKeeps | Policy::WithoutTurns | Policy::Fleet => None,
        }
    }

    fn pump(&mut self, now_ms: u64) {
        for node in 0..self.fronts.len() {
            for dequeued in self.fronts[node].dispatch_waiting(now_ms) {
                match dequeued.outcome {
                    Ok(key) => self.send(node, key, now_ms),
                    Err(_) => self.rejected += 1,
                }
            }
        }
    }

    fn send(&mut self, node: usize, key: TargetKey, now_ms: u64) {
        let engine = index_of(self.fronts[node].selector(), key);
        let job = Job {
            node,
            key,
            arrived_ms: now_ms,
            work: WorkKind::Online,
            ends_ms: None,
        };
        self.engines[engine].jobs.push_back(job);
    }

    /// Batch nodes give slots back that online requests need, and take idle ones.
    fn fill(&mut self, now_ms: u64) {
        for node in 0..self.workers.len() {
            if matches!(self.policy, Policy::Fleet | Policy::WithoutTurns) {
                self.give_back(now_ms, node);
            }
            while self.workers[node].has_batch_room(now_ms, SERVICE)
                && let Some(key) =
                    self.workers[node].choose(now_ms, SERVICE, &query(WorkKind::Batch))
            {
                self.workers[node].start(now_ms, key, WorkKind::Batch);
                let engine = index_of(&self.workers[node], key);
                let job = Job {
                    node,
                    key,
                    arrived_ms: now_ms,
                    work: WorkKind::Batch,
                    ends_ms: None,
                };
                self.engines[engine].jobs.push_back(job);
            }
        }
    }

    fn give_back(&mut self, now_ms: u64, node: usize) {
        let held: Vec<TargetKey> = self
            .engines
            .iter()
            .flat_map(|it| &it.jobs)
            .filter(|it| it.is_batch_of(node))
            .map(|it| it.key)
            .collect();
        for key in held {
            let selector = &mut self.workers[node];
            if selector.excess_batch(now_ms, key, node as u64) > 0 {
                let jobs = &mut self.engines[index_of(selector, key)].jobs;
                let youngest = jobs.iter().rposition(|it| it.is_batch_of(node));
                let job = youngest.and_then(|at| jobs.remove(at));
                let job = job.expect("the node holds an item there");
                if let Some(ends_ms) = job.ends_ms {
                    self.batch_run_ms += BATCH_RUN_MS - (ends_ms - now_ms);
                }
                selector.end(now_ms, key, WorkKind::Batch, AttemptOutcome::Cancelled);
                self.cut += 1;
            }
        }
    }

    fn admit(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            for job in engine
                .jobs
                .iter_mut()
                .take(SLOTS as usize)
                .filter(|it| it.ends_ms.is_none())
            {
                let run_ms = if job.work == WorkKind::Online {
                    ONLINE_RUN_MS
                } else {
                    BATCH_RUN_MS
                };
                job.ends_ms = Some(now_ms + run_ms);
                if job.work == WorkKind::Online {
                    self.latencies_ms
                        .push(now_ms - job.arrived_ms + FIRST_ANSWER_MS);
                }
            }
        }
    }

    fn finish(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            let (done, open) = engine
                .jobs
                .drain(..)
                .partition(|job: &Job| job.ends_ms == Some(now_ms));
            engine.jobs = open;
            for job in done {
                let end = AttemptOutcome::Answered;
                match job.work {
                    WorkKind::Online => self.fronts[job.node].end(
                        now_ms,
                        SERVICE,
                        job.key,
                        job.work,
                        end,
                        ONLINE_RUN_MS,
                    ),
                    WorkKind::Batch => {
                        self.workers[job.node].end(now_ms, job.key, job.work, end);
                        self.batch_done += 1;
                        self.batch_run_ms += BATCH_RUN_MS;
                    }
                }
            }
        }
    }

    fn send_reports(&mut self, now_ms: u64) {
        self.sequence += 1;
        let workers = self
            .workers
            .iter()
            .map(|selector| (selector.own_loads(), Vec::new()));
        let fronts = self
            .fronts
            .iter()
            .map(|it| (it.selector().own_loads(), it.own_waiting()));
        for (sender, (targets, waiting)) in workers.chain(fronts).enumerate() {
            let sequence = self.sequence;
            let report = PeerReport {
                sender: sender as u64,
                sequence,
                targets,
                waiting,
                ..PeerReport::default()
            };
            self.mail.push_back((now_ms + REPORT_DELAY_MS, report));
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        while self.mail.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let Some((_, report)) = self.mail.pop_front() else {
                return;
            };
            let workers = self.workers.len() as u64;
            for (node, selector) in (0..).zip(&mut self.workers) {
                if node != report.sender {
                    selector.on_report(now_ms, &report);
                }
            }
            for (node, front) in (0..).zip(&mut self.fronts) {
                if node + workers != report.sender {
                    front.on_report(now_ms, &report);
                }
            }
        }
    }

    /// Returns how many of 1,000 requests got a first answer in time.
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

impl Job {
    fn is_batch_of(&self, node: usize) -> bool {
        self.work == WorkKind::Batch && self.node == node
    }
}

fn index_of(selector: &TargetSelector, key: TargetKey) -> usize {
    let entry = selector.entry(key).expect("a target");
    entry.id[1..].parse().expect("a number")
}

/// Returns the keys of all targets, in the order of their numbers, while all are idle.
fn keys(selector: &TargetSelector) -> Vec<TargetKey> {
    let mut keys = Vec::new();
    loop {
        let query = TargetQuery {
            excluded: &keys,
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
    let played = World::new(Policy::Fleet).play();
    assert!(played.latencies_ms.len() > 1_000, "the load was played");
    assert!(played.batch_done > 0, "batch ran beside it");
    // The burst needs 74 of 96 slots, so every request can start in time.
    let in_time = played.in_time_per_1000();
    assert!(
        in_time >= 990,
        "{in_time} of 1,000 in time, {} rejected, {} cut",
        played.rejected,
        played.cut
    );
}

#[test]
fn turns_spare_runs() {
    println!("seed {SEED}");
    let with = World::new(Policy::Fleet).play();
    let without = World::new(Policy::WithoutTurns).play();
    assert!(
        with.cut < without.cut,
        "cut with turns: {}, without: {}",
        with.cut,
        without.cut
    );
}

#[test]
fn policies_compared() {
    println!(
        "seed {SEED}\n| policy | in time, of 1,000 | rejected | slot-seconds of batch | broken off |"
    );
    let [any, least, keeps, without_turns, fleet] = [
        Policy::AnyTarget,
        Policy::LeastInFlight,
        Policy::BatchKeeps,
        Policy::WithoutTurns,
        Policy::Fleet,
    ]
    .map(|policy| {
        let played = World::new(policy).play();
        let (in_time, rejected) = (played.in_time_per_1000(), played.rejected);
        let (batch_s, cut) = (played.batch_run_ms / 1_000, played.cut);
        println!("| {policy:?} | {in_time} | {rejected} | {batch_s} | {cut} |");
        in_time
    });
    for other in [any, least, keeps] {
        assert!(fleet > other, "callers get less than without: {other}");
    }
    assert!(fleet >= without_turns, "turns cost callers nothing");
}
