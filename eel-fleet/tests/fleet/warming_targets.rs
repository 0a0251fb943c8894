//! Guards against targets that have just started or recovered and get more than they can do in time, or that stay idle.

use std::ops::Range;

use eel_fleet::Placement;

use crate::uneven_fleet::{Change, Policy, SEED, Shape, Simulation};

type Changes = Vec<(u64, Range<usize>, Change)>;

const AS_BEFORE: Policy = Policy::Fleet(Placement {
    speed_aware: false,
    warm_up: false,
});
const WARM_UP: Policy = Policy::Fleet(Placement {
    speed_aware: false,
    warm_up: true,
});

/// When the targets change: in the quiet part of a cycle.
const AT_MS: u64 = 6_000;
/// The time that a change may affect, and the cycle after it.
const AFTER_MS: Range<u64> = AT_MS..AT_MS + 3_600;
const LATER_MS: Range<u64> = 12_000..18_000;

/// Runs the changes by all `policies`, of which the first two are with and without warm-up. Returns how many of 1,000
/// requests were in time at once and later, and how many the changed targets served later.
fn compare(name: &str, changes: &Changes, policies: &[Policy]) -> Vec<[usize; 3]> {
    println!(
        "seed {SEED}\n| case | policy | in time, of 1,000, at once | later | served by the changed targets at once | later |"
    );
    let targets = &changes[0].1;
    let shape = &Shape {
        changes: changes.clone(),
        duration_ms: 19_000,
        ..Shape::alike()
    };
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let runs = policies.iter();
        let runs: Vec<_> = runs
            .map(|&it| scope.spawn(move || Simulation::run(shape, it)))
            .collect();
        let outcomes = runs.into_iter().map(|it| it.join().expect("a run"));
        outcomes.collect()
    });
    let rows = policies.iter().zip(outcomes).map(|(policy, it)| {
        let [now, later] = [AFTER_MS, LATER_MS].map(|span| it.in_time_per_1000(span));
        let [served, served_later] = [AFTER_MS, LATER_MS].map(|span| it.served_by(&span, targets));
        println!("| {name} | {policy:?} | {now} | {later} | {served} | {served_later} |");
        [now, later, served_later]
    });
    rows.collect()
}

/// Checks that warm-up brings more requests in time at once, no fewer later, and that the changed targets are used.
fn check(rows: &[[usize; 3]]) {
    let (with, without) = (rows[0], rows[1]);
    assert!(with[0] >= without[0], "in time at once: {rows:?}");
    // The same requests meet other targets, by chance.
    assert!(with[1] + 10 >= without[1], "in time later: {rows:?}");
    assert!(4 * with[2] >= without[2], "not left idle: {rows:?}");
}

#[test]
fn half_replaced() {
    let changes = vec![(AT_MS, 0..23, Change::Restart)];
    let policies = [WARM_UP, AS_BEFORE, Policy::FixedRamp(6_000), Policy::AddOne];
    check(&compare("half replaced", &changes, &policies));
}

#[test]
fn zone_back_at_once() {
    let changes = vec![
        (AT_MS, 0..12, Change::Recover),
        (AT_MS - 4_000, 0..12, Change::Crash),
    ];
    check(&compare("zone back", &changes, &[WARM_UP, AS_BEFORE]));
}

#[test]
fn flapping_and_slow() {
    let mut changes: Changes = (0..4)
        .flat_map(|it| {
            let at_ms = AT_MS + it * 1_000;
            [
                (at_ms, 0..2, Change::Crash),
                (at_ms + 500, 0..2, Change::Recover),
            ]
        })
        .collect();
    changes.push((AT_MS, 1..2, Change::Slow));
    let rows = compare("flapping, one slow", &changes, &[WARM_UP, AS_BEFORE]);
    assert!(
        rows[0][0] + 10 >= rows[1][0] && rows[0][1] + 10 >= rows[1][1],
        "{rows:?}"
    );
    assert!(rows[0][2] > 0, "not starved: {rows:?}");
}

#[test]
fn all_new() {
    let changes = vec![(AT_MS, 0..47, Change::Restart)];
    check(&compare("all new", &changes, &[WARM_UP, AS_BEFORE]));
}
