//! Measures the run time of membership decisions for fleets of growing size.
//!
//! Run it with `cargo test --release -p eel-member --test member decision_cost -- --ignored --nocapture`

use std::{hint::black_box, time::Instant};

use eel_member::{Event, Membership};
use eel_types::{ListedVm, Name};

use crate::fixture::{list, membership, message, short, vm};

const POOLS: usize = 11;
const ENTRIES: usize = 360;
const ROUNDS: u32 = 200;

fn fleet(targets: usize) -> Vec<ListedVm> {
    let place = |n: usize| Name::from(format!("north-{}", n % 7));
    let target = |n: usize| ListedVm {
        data_centre: place(n),
        pool: Name::from(format!("pool-{}", n % POOLS)),
        ..vm(&format!("target-{n}"))
    };
    let entry = |n: usize| ListedVm {
        data_centre: place(n),
        pool: Name::from("entry"),
        ..vm(&format!("entry-{n}"))
    };
    (0..targets)
        .map(target)
        .chain((0..ENTRIES).map(entry))
        .collect()
}

/// Returns the average run time of `step` in microseconds.
fn cost_us(mut step: impl FnMut(u64)) -> f64 {
    let begun = Instant::now();
    for round in 0..ROUNDS {
        step(u64::from(round));
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn linked(membership: &mut Membership, vms: &[ListedVm]) -> Vec<String> {
    let connects = membership.on_event(0, list(vms));
    let names = connects
        .iter()
        .map(|action| short(action)["connect ".len()..].replace(" 1", ""));
    let names: Vec<_> = names.collect();
    for name in &names {
        membership.on_event(1, message(name, 1));
    }
    names
}

#[test]
#[ignore = "a measurement"]
fn decision_cost() {
    println!("targets links | us for: first list, same list, heartbeat, tick, lost and back");
    for targets in [110, 440, 1_760, 3_800, 7_600] {
        let vms = fleet(targets);
        let mut membership = membership();
        let begun = Instant::now();
        let names = linked(&mut membership, &vms);
        let first_us = begun.elapsed().as_secs_f64() * 1e6;
        let read = list(&vms);
        let reread_us = cost_us(|now_ms| {
            black_box(membership.on_event(2 + now_ms, read.clone()));
        });
        let heartbeat = message(&names[0], 1);
        let message_us = cost_us(|now_ms| {
            black_box(membership.on_event(300 + now_ms, heartbeat.clone()));
        });
        let tick_us = cost_us(|now_ms| {
            black_box(membership.on_event(600 + now_ms / 10, Event::Tick));
        });
        let lost = crate::fixture::silent(&names[1], 1);
        let back = message(&names[1], 1);
        let failure_us = cost_us(|now_ms| {
            black_box(membership.on_event(700 + now_ms / 10, lost.clone()));
            black_box(membership.on_event(700 + now_ms / 10, back.clone()));
        });
        println!(
            "{targets:7} {:5} | {first_us:9.0} {reread_us:9.1} {message_us:9.2} {tick_us:9.1} {failure_us:9.1}",
            names.len()
        );
    }
}
