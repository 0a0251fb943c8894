//! Plays bursts of online requests over batch, with several nodes that see one another's load late.
//!
//! Three nodes take online requests in steps of five to one, three others fill what is idle with batch items. Targets
//! admit in order of arrival. What counts is what callers get: a first answer within 300 ms.

use std::collections::VecDeque;

use eel_fleet::{AttemptEnd, Board, Decision, Dispatcher, PeerReport, TargetKey, Work};
use eel_types::Name;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::fixture::{SERVICE, arrival, target, wish};

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

struct Job {
    node: usize,
    key: TargetKey,
    arrived_ms: u64,
    work: Work,
    ends_ms: Option<u64>,
}

/// Runs jobs in order of arrival.
#[derive(Default)]
struct Engine {
    jobs: VecDeque<Job>,
}

struct World {
    rng: SmallRng,
    fronts: Vec<Dispatcher>,
    workers: Vec<Board>,
    engines: Vec<Engine>,
    mail: VecDeque<(u64, PeerReport)>,
    sequence: u64,
    latencies_ms: Vec<u64>,
    rejected: u32,
    cut: u32,
    batch_done: u32,
}

impl World {
    fn new(has_turns: bool) -> Self {
        let names = ["batch-a", "batch-b", "batch-c"].map(Name::from);
        let entries =
            || (0..TARGETS).map(|it| target(&format!("t{it}"), DATA_CENTRES[it % 3], SLOTS));
        let fronts = DATA_CENTRES.map(|data_centre| {
            let mut front = Dispatcher::new(data_centre.into());
            entries().for_each(|entry| front.board_mut().set_target(entry));
            front
        });
        let workers = names.clone().map(|own| {
            let mut board = Board::default();
            entries().for_each(|entry| board.set_target(entry));
            let others: Vec<Name> = names
                .iter()
                .filter(|it| **it != own && has_turns)
                .cloned()
                .collect();
            board.set_batch_nodes(&own, &others);
            board
        });
        Self {
            rng: SmallRng::seed_from_u64(SEED),
            fronts: fronts.into(),
            workers: workers.into(),
            engines: (0..TARGETS).map(|_| Engine::default()).collect(),
            mail: VecDeque::new(),
            sequence: 0,
            latencies_ms: Vec::new(),
            rejected: 0,
            cut: 0,
            batch_done: 0,
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
        let service = Name::from(SERVICE);
        let mut arrival = arrival(&service, now_ms + GOAL_MS - FIRST_ANSWER_MS, now_ms + 5_000);
        arrival.spread = self.rng.random();
        match self.fronts[node].arrive(now_ms, arrival) {
            Decision::Start(key) => self.send(node, key, now_ms),
            Decision::Wait(_) => {}
            Decision::Reject(_) => self.rejected += 1,
        }
    }

    fn pump(&mut self, now_ms: u64) {
        for node in 0..self.fronts.len() {
            for due in self.fronts[node].due(now_ms) {
                match due.outcome {
                    Ok(key) => self.send(node, key, now_ms),
                    Err(_) => self.rejected += 1,
                }
            }
        }
    }

    fn send(&mut self, node: usize, key: TargetKey, now_ms: u64) {
        let engine = index_of(self.fronts[node].board(), key);
        let job = Job {
            node,
            key,
            arrived_ms: now_ms,
            work: Work::Online,
            ends_ms: None,
        };
        self.engines[engine].jobs.push_back(job);
    }

    /// Batch nodes give slots back that online requests need, and take idle ones.
    fn fill(&mut self, now_ms: u64) {
        for node in 0..self.workers.len() {
            let held: Vec<TargetKey> = self
                .engines
                .iter()
                .flat_map(|it| &it.jobs)
                .filter(|it| it.is_batch_of(node))
                .map(|it| it.key)
                .collect();
            for key in held {
                let board = &mut self.workers[node];
                if board.excess_batch(now_ms, key, node as u64) > 0 {
                    let jobs = &mut self.engines[index_of(board, key)].jobs;
                    let youngest = jobs.iter().rposition(|it| it.is_batch_of(node));
                    jobs.remove(youngest.expect("the node holds an item there"));
                    board.end(now_ms, key, Work::Batch, AttemptEnd::BrokenOff);
                    self.cut += 1;
                }
            }
            while self.workers[node].has_batch_room(now_ms, SERVICE)
                && let Some(key) = self.workers[node].choose(now_ms, SERVICE, &wish(Work::Batch))
            {
                self.workers[node].start(now_ms, key, Work::Batch);
                let engine = index_of(&self.workers[node], key);
                let job = Job {
                    node,
                    key,
                    arrived_ms: now_ms,
                    work: Work::Batch,
                    ends_ms: None,
                };
                self.engines[engine].jobs.push_back(job);
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
                let run_ms = if job.work == Work::Online {
                    ONLINE_RUN_MS
                } else {
                    BATCH_RUN_MS
                };
                job.ends_ms = Some(now_ms + run_ms);
                if job.work == Work::Online {
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
                let end = AttemptEnd::Answered;
                match job.work {
                    Work::Online => self.fronts[job.node].end(
                        now_ms,
                        SERVICE,
                        job.key,
                        job.work,
                        end,
                        ONLINE_RUN_MS,
                    ),
                    Work::Batch => {
                        self.workers[job.node].end(now_ms, job.key, job.work, end);
                        self.batch_done += 1;
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
            .map(|board| (board.own_loads(), Vec::new()));
        let fronts = self
            .fronts
            .iter()
            .map(|it| (it.board().own_loads(), it.own_waiting()));
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
            for (node, board) in (0..).zip(&mut self.workers) {
                if node != report.sender {
                    board.on_report(now_ms, &report);
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
        self.work == Work::Batch && self.node == node
    }
}

fn index_of(board: &Board, key: TargetKey) -> usize {
    let entry = board.entry(key).expect("a target");
    entry.id[1..].parse().expect("a number")
}

#[test]
fn bursts_over_batch() {
    println!("seed {SEED}");
    let played = World::new(true).play();
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
    let with = World::new(true).play();
    let without = World::new(false).play();
    assert!(
        with.cut < without.cut,
        "cut with turns: {}, without: {}",
        with.cut,
        without.cut
    );
}
