//! State transitions of a breaker: opening, the single probe, and closing.
//!
//! The tests guard against more than one probe at a failed target, against attempts from before the opening that change
//! the state, and against an open time that grows without bound.

use eel_route::{
    Breaker, BreakerOptions,
    BreakerState::{self, Closed, HalfOpen},
};
use rand::{SeedableRng as _, rngs::StdRng};

const SEED: u64 = 0x5eed_0002;

fn until_ms(breaker: &Breaker, now_ms: u64) -> u64 {
    match breaker.state(now_ms) {
        BreakerState::Open { until_ms } => until_ms,
        state => panic!("not open: {state:?}"),
    }
}

fn failed(options: BreakerOptions, rng: &mut StdRng) -> Breaker {
    let mut breaker = Breaker::new(0, options);
    for _ in 0..options.consecutive_failures {
        assert_eq!(breaker.state(0), Closed);
        breaker.on_failure(0, false, rng);
    }
    breaker
}

#[test]
fn failures_in_row_open() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let options = BreakerOptions::default();
    let breaker = failed(options, &mut rng);
    let until_ms = until_ms(&breaker, 0);
    assert!((options.open_ms..=options.open_ms * 5 / 4).contains(&until_ms));
    assert_eq!(breaker.state(until_ms), HalfOpen { probing: false });
}

#[test]
fn failure_ratio_opens() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut breaker = Breaker::new(0, BreakerOptions::default());
    for _ in 0..10 {
        breaker.on_success(0, false);
        breaker.on_failure(0, false, &mut rng);
    }
    assert!(until_ms(&breaker, 0) > 0);
}

#[test]
fn probe_decides() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let options = BreakerOptions::default();
    let mut breaker = failed(options, &mut rng);
    let first_ms = until_ms(&breaker, 0);
    assert!(breaker.on_start(first_ms));
    assert!(!breaker.on_start(first_ms), "a second probe must not start");

    breaker.on_success(first_ms, false);
    assert_eq!(breaker.state(first_ms), HalfOpen { probing: true });
    breaker.on_neutral(true);
    assert_eq!(breaker.state(first_ms), HalfOpen { probing: false });

    assert!(breaker.on_start(first_ms));
    breaker.on_failure(first_ms, true, &mut rng);
    let second_ms = until_ms(&breaker, first_ms);
    assert!(
        second_ms - first_ms >= 2 * options.open_ms,
        "the open time must double"
    );

    assert!(breaker.on_start(second_ms));
    breaker.on_success(second_ms, true);
    assert_eq!(breaker.state(second_ms), Closed);
}

#[test]
fn open_time_is_bounded() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let options = BreakerOptions::default();
    let mut breaker = Breaker::new(0, options);
    for _ in 0..100 {
        breaker.open(0, &mut rng);
        assert!(until_ms(&breaker, 0) <= options.max_open_ms * 5 / 4);
    }
}
