//! The decision on memory of bodies and unread responses.
//!
//! Guards against a budget that is exceeded, bytes that are never released, a slow caller that keeps others out, and the
//! refusal of a body that nothing competes with.

use std::net::{IpAddr, Ipv4Addr};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

#[path = "../../src/http/budget.rs"]
mod budget;

use budget::{Budget, HoldKey, HoldKind, Short};

const KB: usize = 1024;
const TOTAL: usize = 16 * 1024 * KB;

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Fills the share of one address with bodies of 256 KB that arrive at `now_ms`.
fn fill(budget: &mut Budget, now_ms: u64) -> Vec<HoldKey> {
    let mut keys = Vec::new();
    loop {
        let key = budget.open(address(1), HoldKind::Arriving, now_ms);
        match budget.grow(key, 256 * KB, now_ms) {
            Ok(evicted) => assert_eq!(evicted, []),
            Err(Short) => return keys,
        }
        budget.on_progress(key, 256 * KB, now_ms);
        keys.push(key);
    }
}

#[test]
fn share_of_an_address() {
    let mut budget = Budget::new(TOTAL);
    fill(&mut budget, 0);
    assert_eq!(budget.used_bytes(), TOTAL / 4 * 3 / 2);
    // Ordinary bodies of the same address, and large ones of another, still fit.
    for (number, bytes) in [(1, 72 * KB), (2, 4 * 1024 * KB)] {
        let key = budget.open(address(number), HoldKind::Arriving, 0);
        assert_eq!(budget.grow(key, bytes, 0), Ok(Vec::new()));
    }
}

#[test]
fn stalled_bodies_first() {
    let mut budget = Budget::new(TOTAL);
    let keys = fill(&mut budget, 0);
    let newer = budget.open(address(1), HoldKind::Arriving, 200);
    assert_eq!(budget.grow(newer, 256 * KB, 200), Err(Short));
    budget.on_progress(keys[0], 1, 249);
    budget.complete(keys[1], 256 * KB);
    // The first made progress, the second is whole: the third has waited for the longest.
    assert_eq!(budget.grow(newer, 256 * KB, 250), Ok(vec![keys[2]]));
    assert_eq!(budget.grow(keys[2], 512 * KB, 250), Err(Short));
}

#[test]
fn lone_body() {
    let mut budget = Budget::new(KB);
    let key = budget.open(address(1), HoldKind::Arriving, 0);
    assert_eq!(budget.grow(key, 4 * 1024 * KB, 0), Ok(Vec::new()));
    let other = budget.open(address(2), HoldKind::Arriving, 0);
    assert_eq!(budget.grow(other, 1, 0), Err(Short));
    budget.close(key);
    assert_eq!(budget.grow(other, 4 * 1024 * KB, 0), Ok(Vec::new()));
}

#[test]
fn random_events() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budget = Budget::new(TOTAL);
        let mut held: Vec<(HoldKey, usize, bool)> = Vec::new();
        for now_ms in (0..4_000).step_by(10) {
            match rng.random_range(0..4) {
                0 => {
                    let kind = [HoldKind::Arriving, HoldKind::Response][rng.random_range(0..2)];
                    let key = budget.open(address(rng.random_range(1..5)), kind, now_ms);
                    held.push((key, 0, false));
                }
                1 if !held.is_empty() => {
                    let (key, ..) = held.swap_remove(rng.random_range(0..held.len()));
                    budget.close(key);
                }
                2 if !held.is_empty() => {
                    let index = rng.random_range(0..held.len());
                    budget.complete(held[index].0, held[index].1);
                    held[index].2 = true;
                }
                _ if !held.is_empty() => {
                    let index = rng.random_range(0..held.len());
                    let (key, bytes, is_whole) = held[index];
                    let more = bytes + rng.random_range(1..4 * 1024 * KB);
                    if !is_whole && let Ok(evicted) = budget.grow(key, more, now_ms) {
                        held[index].1 = more;
                        let whole = |it: &&(HoldKey, usize, bool)| it.2 && evicted.contains(&it.0);
                        assert_eq!(held.iter().find(whole), None, "seed {seed}");
                        held.retain(|it| !evicted.contains(&it.0));
                        let sum: usize = held.iter().map(|it| it.1).sum();
                        assert!(sum <= TOTAL || sum == more, "seed {seed}");
                    }
                }
                _ => {}
            }
            let sum: usize = held.iter().map(|it| it.1).sum();
            assert_eq!(budget.used_bytes(), sum, "seed {seed}");
        }
        for (key, ..) in held {
            budget.close(key);
        }
        assert_eq!(budget.used_bytes(), 0, "seed {seed}");
    }
}
