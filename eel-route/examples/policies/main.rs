//! Compares the policies for the choice of a target on a queue model of one pool.
//!
//! Run it with `cargo run --release -p eel-route --example policies`.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

mod model;

use std::time::Instant;

use eel_route::{AttemptOutcome, Policy, Pool, PoolOptions, TargetInfo, TargetQuery};
use eel_types::{Class, Name};
use rand::{SeedableRng as _, rngs::StdRng};

use model::{Case, Model};

const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

struct Row {
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    goodput: f64,
}

fn measure(case: Case, options: PoolOptions) -> Row {
    let mut latencies_us = Vec::new();
    let mut answered = 0;
    for seed in SEEDS {
        let mut model = Model::new(case, options, seed);
        model.run();
        latencies_us.append(&mut model.latencies_us);
        answered += model.answered;
    }
    latencies_us.sort_unstable();
    let last = latencies_us.len() - 1;
    let quantile_ms = |share: f64| latencies_us[(last as f64 * share) as usize] as f64 / 1e3;
    Row {
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        p999_ms: quantile_ms(0.999),
        goodput: answered as f64 / latencies_us.len() as f64,
    }
}

/// Returns the mean time of one choice with its start and end, in nanoseconds.
fn decision_time_ns(targets: usize) -> f64 {
    const DECISIONS: u32 = 200_000;
    let mut pool = Pool::new(PoolOptions::default());
    for target in 0..targets {
        let vm = Name::from(format!("vm-{target}"));
        let data_centre = Name::from("dc-0");
        let same_data_centre = target % 3 == 0;
        pool.add_target(
            0,
            TargetInfo {
                vm,
                data_centre,
                same_data_centre,
            },
        );
    }
    let mut rng = StdRng::seed_from_u64(SEEDS[0]);
    let query = TargetQuery {
        class: Class::Interactive,
        prefix_hash: Some(1),
        repeatable: true,
        excluded: &[],
    };
    let begin = Instant::now();
    for now_ms in 0..DECISIONS.into() {
        let target = pool.choose(now_ms, &query, &mut rng).expect("an idle pool");
        let attempt = pool.start(now_ms, target, query.class).expect("usable");
        pool.end(
            now_ms,
            attempt,
            AttemptOutcome::Answered {
                first_byte_us: 1_000,
            },
            &mut rng,
        );
    }
    begin.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

fn main() {
    let with = |policy| PoolOptions {
        policy,
        ..PoolOptions::default()
    };
    let policies = [
        ("power-of-two", with(Policy::PowerOfTwo)),
        ("random", with(Policy::Random)),
        ("least-in-flight", with(Policy::LeastInFlight)),
        ("weighted", with(Policy::Weighted)),
        (
            "weighted, no ejection",
            PoolOptions {
                outlier: None,
                ..with(Policy::Weighted)
            },
        ),
    ];
    let cases = [
        ("equal", Case::Equal),
        ("one slow x5", Case::Slow),
        ("one dead", Case::Dead),
        ("one flapping", Case::Flapping),
        ("reports 500 ms late", Case::Lagging),
        ("bursts", Case::Bursts),
        ("overload x1.4", Case::Overload),
        ("skewed entries", Case::Skewed),
        ("30 entries", Case::ManyEntries),
        ("30 entries, 500 ms late", Case::ManyLagging),
        ("prefix reuse", Case::Prefixes),
    ];
    for targets in [1, 12, 100, 400] {
        println!(
            "{targets} targets: {:.0} ns per decision",
            decision_time_ns(targets)
        );
    }
    println!("seeds {SEEDS:?}; ratios are relative to power-of-two in the same case");
    println!("| case | policy | p50 ms | p99 ms | p99.9 ms | goodput | p50, p99, p99.9 ratios |");
    println!("| --- | --- | ---: | ---: | ---: | ---: | --- |");
    for (case_name, case) in cases {
        let rows = policies.map(|(name, options)| (name, measure(case, options)));
        let base = &rows[0].1;
        for (name, row) in &rows {
            println!(
                "| {case_name} | {name} | {:.1} | {:.1} | {:.1} | {:.4} | {:.2}, {:.2}, {:.2} |",
                row.p50_ms,
                row.p99_ms,
                row.p999_ms,
                row.goodput,
                row.p50_ms / base.p50_ms,
                row.p99_ms / base.p99_ms,
                row.p999_ms / base.p999_ms,
            );
        }
    }
}
