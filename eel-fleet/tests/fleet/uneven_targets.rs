//! Guards against requests that are late because all targets are treated as equally fast, and against a choice by speed
//! that overloads the fastest targets, starves the slowest, or changes anything where targets are alike.

use eel_fleet::{Observation, Placement, TargetKey, TargetQuery, TargetSelector, WorkKind};

use crate::{
    fixture::{SERVICE, query, selector},
    uneven_fleet::{Outcome, Policy, SEED, Shape, Simulation},
};

const SPEED_AWARE: Placement = Placement {
    speed_aware: true,
    warm_up: false,
};
const BY_LOAD: Policy = Policy::Fleet(Placement {
    speed_aware: false,
    warm_up: false,
});
const BY_SPEED: Policy = Policy::Fleet(SPEED_AWARE);
/// When the nodes have seen enough of the targets, to the end.
const LEARNED_MS: std::ops::Range<u64> = 18_000..30_000;

fn run(shape: &Shape, policies: &[Policy]) -> Vec<Outcome> {
    std::thread::scope(|scope| {
        let runs = policies
            .iter()
            .map(|&policy| scope.spawn(move || Simulation::run(shape, policy)));
        let runs: Vec<_> = runs.collect();
        let outcomes = runs.into_iter().map(|it| it.join().expect("a run"));
        outcomes.collect()
    })
}

fn compare(load: f64, policies: &[Policy]) -> Vec<usize> {
    let shape = Shape {
        mean_per_s: load * Shape::uneven().mean_per_s,
        duration_ms: LEARNED_MS.end,
        ..Shape::uneven()
    };
    println!("seed {SEED}\n| load | policy | in time, of 1,000 | overshot | at the slow targets |");
    let outcomes = run(&shape, policies);
    let rows = policies.iter().zip(outcomes).map(|(policy, it)| {
        let served = it.served.iter().filter(|it| LEARNED_MS.contains(&it.0));
        let slow = served.clone().filter(|it| it.1 % 3 == 0).count();
        let per_1000 = 1_000 * slow / served.count();
        let in_time = it.in_time_per_1000(LEARNED_MS);
        println!(
            "| {load} | {policy:?} | {in_time} | {} | {per_1000} |",
            it.overshot
        );
        // By speed, they would get 0.6 * 15 of 45.4 parts.
        assert!(
            *policy != BY_SPEED || per_1000 >= 198 / 4,
            "slow targets are not starved"
        );
        in_time
    });
    rows.collect()
}

#[test]
fn usual_load() {
    let policies = [BY_SPEED, BY_LOAD, Policy::TwoChoices, Policy::ShortestDelay];
    let in_time = compare(1.0, &policies);
    assert!(in_time[0] >= in_time[1] && in_time[0] > in_time[3]);
}

#[test]
fn heavy_load() {
    let in_time = compare(1.25, &[BY_SPEED, BY_LOAD, Policy::TwoChoices]);
    assert!(in_time[0] >= in_time[1]);
}

#[test]
fn alike_targets() {
    let shape = Shape {
        duration_ms: 9_000,
        ..Shape::alike()
    };
    let outcomes = run(&shape, &[BY_SPEED, BY_LOAD]);
    assert!(outcomes[0].served.len() > 1_500);
    assert_eq!(outcomes[0].served, outcomes[1].served);
}

/// Returns two targets of which the second one takes `ratio` times as long, after `count` requests at each.
fn observed(ratio: u64, count: u64) -> (TargetSelector, [TargetKey; 2]) {
    let mut selector = selector(&[("a", "dc-a", 8), ("b", "dc-a", 8)]);
    selector.set_placement(SPEED_AWARE);
    let key = |id: &str, selector: &TargetSelector| {
        let all = ["a", "b"].map(|_| ());
        let mut excluded = Vec::new();
        for () in all {
            let query = TargetQuery {
                excluded: &excluded,
                ..query(WorkKind::Online)
            };
            let key = selector.choose(0, SERVICE, &query).expect("a target");
            if selector.entry(key).expect("an entry").id.as_str() == id {
                return key;
            }
            excluded.push(key);
        }
        unreachable!("a listed target")
    };
    let keys = ["a", "b"].map(|id| key(id, &selector));
    for at in 0..count {
        for (key, us) in keys.into_iter().zip([100_000, 100_000 * ratio / 1_000]) {
            selector.observe(1_000 * at, key, Observation::FirstEventUs(us));
            selector.observe(1_000 * at, key, Observation::PaceUs(us / 10));
        }
    }
    (selector, keys)
}

fn share_of_first(now_ms: u64, selector: &TargetSelector, keys: [TargetKey; 2]) -> usize {
    let chosen = (0..200).map(|it| {
        let query = TargetQuery {
            tie_breaker: it * 7_919,
            ..query(WorkKind::Online)
        };
        selector.choose(now_ms, SERVICE, &query)
    });
    chosen.filter(|it| *it == Some(keys[0])).count()
}

#[test]
fn estimates_decide() {
    // The ratio of the second target, the requests at each, the time, and whether the first one is preferred.
    let cases = [
        (2_000, 6, 6_000, true),
        (1_250, 6, 6_000, false),
        (2_000, 2, 2_000, false),
        (2_000, 6, 80_000, false),
    ];
    for case in cases {
        let (ratio, count, now_ms, is_preferred) = case;
        let (selector, keys) = observed(ratio, count);
        let share = share_of_first(now_ms, &selector, keys);
        assert_eq!(share == 200, is_preferred, "{case:?}: {share} of 200");
    }
}

#[test]
fn outliers_are_ignored() {
    let (mut selector, keys) = observed(1_000, 12);
    for at in 0..4 {
        let now_ms = 12_000 + at * 200;
        selector.observe(now_ms, keys[1], Observation::FirstEventUs(250_000));
        selector.observe(now_ms, keys[1], Observation::PaceUs(25_000));
    }
    assert!(share_of_first(13_000, &selector, keys) < 200);
}
