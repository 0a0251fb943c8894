//! Detection of a target that fails part of its requests, beside targets that fail occasionally.
//!
//! Such a target keeps accepting requests, and its failures are rarely consecutive, so a detector of consecutive
//! failures misses it; one that is too sensitive would move load away from the healthy targets.

use std::collections::HashMap;

use eel_fleet::{AttemptOutcome, TargetKey, TargetQuery, TargetSelector, WorkKind};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::fixture::{SERVICE, query, selector};

const SEED: u64 = 5;
const REQUESTS: u64 = 2_000;
const REQUEST_INTERVAL_MS: u64 = 10;
/// Probability that the failing target fails a request.
const FAILING_TARGET_RATE: f64 = 0.4;
/// Probability that any other target fails a request.
const HEALTHY_TARGET_RATE: f64 = 0.01;
/// Consecutive failures after which the baseline ejects a target.
const CONSECUTIVE_FAILURES: u32 = 3;
/// How long the baseline ejects a target.
const EJECTION_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
enum Detection {
    None,
    /// Eject a target after three consecutive failures.
    Consecutive,
    /// Use the detection of this crate.
    Fleet,
}

struct SimulationResult {
    failures: u32,
    /// Requests sent to the failing target.
    sent: u32,
    /// Requests sent to the busiest other target, in thousandths of the mean over the other targets.
    busiest: u64,
}

fn targets() -> TargetSelector {
    selector(&[
        ("t0", "dc-a", 8),
        ("t1", "dc-a", 8),
        ("t2", "dc-a", 8),
        ("t3", "dc-a", 8),
        ("t4", "dc-a", 8),
    ])
}

fn simulate(detection: Detection) -> SimulationResult {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut selector = targets();
    let mut consecutive: HashMap<TargetKey, (u32, u64)> = HashMap::new();
    let mut sent: HashMap<String, u32> = HashMap::new();
    let mut failures = 0;
    for request in 0..REQUESTS {
        let now_ms = request * REQUEST_INTERVAL_MS;
        let ejected: Vec<TargetKey> = consecutive
            .iter()
            .filter(|(_, (_, until_ms))| now_ms < *until_ms)
            .map(|(key, _)| *key)
            .collect();
        let query = TargetQuery {
            tie_breaker: rng.random(),
            excluded: &ejected,
            only_limited: false,
            ..query(WorkKind::Online)
        };
        let key = selector.choose(now_ms, SERVICE, &query).expect("a target");
        let id = selector.entry(key).expect("a target").id.to_string();
        let has_failed = rng.random_bool(if id == "t0" {
            FAILING_TARGET_RATE
        } else {
            HEALTHY_TARGET_RATE
        });
        *sent.entry(id).or_default() += 1;
        failures += u32::from(has_failed);
        match detection {
            Detection::None => {}
            Detection::Consecutive => {
                let (count, until_ms) = consecutive.entry(key).or_default();
                *count = if has_failed { *count + 1 } else { 0 };
                if *count >= CONSECUTIVE_FAILURES {
                    (*count, *until_ms) = (0, now_ms + EJECTION_MS);
                }
            }
            Detection::Fleet => {
                selector.start(now_ms, key, WorkKind::Online);
                let outcome = if has_failed {
                    AttemptOutcome::Errored
                } else {
                    AttemptOutcome::Answered
                };
                selector.end(now_ms, key, WorkKind::Online, outcome);
            }
        }
    }
    let failing = sent.remove("t0").unwrap_or(0);
    let busiest = sent.values().max().copied().unwrap_or(0);
    let others: u32 = sent.values().sum();
    SimulationResult {
        failures,
        sent: failing,
        busiest: 1_000 * u64::from(busiest) * sent.len() as u64 / u64::from(others),
    }
}

#[test]
fn detections_compared() {
    println!(
        "seed {SEED}\n| detection | failures, of {REQUESTS} | sent to the failing target | busiest other, of 1,000 |"
    );
    let [none, consecutive, fleet] = [Detection::None, Detection::Consecutive, Detection::Fleet]
        .map(|it| {
            let result = simulate(it);
            println!(
                "| {it:?} | {} | {} | {} |",
                result.failures, result.sent, result.busiest
            );
            result
        });
    assert!(fleet.failures < consecutive.failures && fleet.failures < none.failures);
    // A failure rate of 1 % must not rank a target last for long.
    assert!(
        fleet.busiest <= 1_250,
        "busiest other target, in thousandths of the mean: {}",
        fleet.busiest
    );
}

#[test]
fn used_where_no_other_has_room() {
    let mut selector = selector(&[("failing", "dc-a", 2), ("well", "dc-b", 1)]);
    let failing = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    for now_ms in [0, 10, 20] {
        selector.start(now_ms, failing, WorkKind::Online);
        selector.end(now_ms, failing, WorkKind::Online, AttemptOutcome::Errored);
    }
    let first = selector
        .choose(30, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    assert_ne!(
        first, failing,
        "a healthy remote target goes before a failing local one"
    );
    selector.start(30, first, WorkKind::Online);
    assert_eq!(
        selector.choose(31, SERVICE, &query(WorkKind::Online)),
        Some(failing)
    );
}

#[test]
fn forgotten_after_a_while() {
    let mut selector = selector(&[("near", "dc-a", 2), ("far", "dc-b", 2)]);
    let near = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    for now_ms in [0, 10] {
        selector.start(now_ms, near, WorkKind::Online);
        selector.end(now_ms, near, WorkKind::Online, AttemptOutcome::Errored);
    }
    assert_ne!(
        selector.choose(20, SERVICE, &query(WorkKind::Online)),
        Some(near)
    );
    assert_eq!(
        selector.choose(4_100, SERVICE, &query(WorkKind::Online)),
        Some(near)
    );
}
