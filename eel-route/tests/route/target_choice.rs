//! The choice of a target by load, locality, cached prefix, credits and speed.
//!
//! The tests guard against own attempts that count twice once a report includes them, against batch items without valid
//! credits, against the ejection of too many targets, and against a probe by a request that may run only once.

use eel_route::{
    AttemptOutcome, BreakerState, Pool, PoolOptions, TargetInfo, TargetKey, TargetQuery,
};
use eel_types::{Class, LoadReport, Name};
use eel_verdict::Reason;
use rand::{SeedableRng as _, rngs::StdRng};

const SEED: u64 = 0x5eed_0004;

pub(crate) const ONLINE: TargetQuery<'_> = TargetQuery {
    class: Class::Interactive,
    prefix_hash: None,
    repeatable: true,
    excluded: &[],
};

pub(crate) fn add(pool: &mut Pool, vm: &str, same_data_centre: bool) -> TargetKey {
    let data_centre = if same_data_centre { "dc-1" } else { "dc-2" };
    let info = TargetInfo {
        vm: Name::from(vm),
        data_centre: Name::from(data_centre),
        same_data_centre,
    };
    pool.add_target(0, info)
}

fn report(running_online: u32, queued_online: u32) -> LoadReport {
    LoadReport {
        slots: 8,
        running_online,
        queued_online,
        ..LoadReport::default()
    }
}

fn setup() -> (Pool, TargetKey, TargetKey, StdRng) {
    let mut pool = Pool::new(PoolOptions::default());
    let local = add(&mut pool, "vm-1", true);
    let remote = add(&mut pool, "vm-2", false);
    (pool, local, remote, StdRng::seed_from_u64(SEED))
}

#[test]
fn own_data_centre_first() {
    // (requests at the local target, whether the idle remote target is chosen)
    let cases = [(0, false), (1, false), (3, true), (7, true)];
    for (running, remote_chosen) in cases {
        let (mut pool, local, remote, mut rng) = setup();
        pool.on_report(0, local, report(running, 0));
        pool.on_report(0, remote, report(0, 0));
        let chosen = pool
            .choose(0, &ONLINE, &mut rng)
            .expect("two usable targets");
        assert_eq!(
            chosen == remote,
            remote_chosen,
            "{running} running at the local target"
        );
    }
}

#[test]
fn own_attempts_correct_reports() {
    let (mut pool, local, remote, mut rng) = setup();
    pool.on_report(0, local, report(0, 0));
    pool.on_report(0, remote, report(0, 0));
    for _ in 0..4 {
        pool.start(0, local, Class::Interactive).expect("usable");
    }
    assert_eq!(pool.choose(0, &ONLINE, &mut rng), Ok(remote));
    pool.on_report(0, local, report(4, 0));
    assert_eq!(
        pool.load(0).in_flight,
        4,
        "own attempts must not count twice"
    );
}

#[test]
fn cached_prefix_preferred() {
    // (requests at the target that has the prefix, whether it is chosen)
    let cases = [(0, true), (7, true), (8, false)];
    for (running, cached_chosen) in cases {
        let (mut pool, local, remote, mut rng) = setup();
        pool.on_report(0, local, report(0, 0));
        pool.on_report(0, remote, report(running, 0));
        pool.on_prefix_cached(7, remote);
        let query = TargetQuery {
            prefix_hash: Some(7),
            ..ONLINE
        };
        let chosen = pool
            .choose(0, &query, &mut rng)
            .expect("two usable targets");
        assert_eq!(chosen == remote, cached_chosen, "{running} running");
        pool.on_prefix_evicted(7, remote);
        assert_eq!(pool.choose(0, &query, &mut rng), Ok(local));
    }
}

#[test]
fn full_pool_refuses_at_once() {
    let (mut pool, local, remote, mut rng) = setup();
    pool.on_report(0, local, report(8, 24));
    pool.on_report(0, remote, report(8, 24));
    let refusal = pool.choose(0, &ONLINE, &mut rng).expect_err("full");
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn empty_pool_refuses() {
    let (mut pool, local, remote, mut rng) = setup();
    pool.stop_use(local);
    let attempt = pool.start(0, remote, Class::Interactive).expect("usable");
    pool.end(
        0,
        attempt,
        AttemptOutcome::Refused(Reason::Leaving),
        &mut rng,
    );
    let refusal = pool
        .choose(0, &ONLINE, &mut rng)
        .expect_err("both are leaving");
    assert_eq!(refusal.reason, Reason::NoTarget);
}

#[test]
fn batch_needs_credits() {
    let (mut pool, local, _, mut rng) = setup();
    let query = TargetQuery {
        class: Class::Batch,
        ..ONLINE
    };
    assert!(
        pool.choose(0, &query, &mut rng).is_err(),
        "without a report there are no credits"
    );
    let credits = LoadReport {
        batch_credits: 2,
        credit_valid_ms: 1_000,
        ..report(0, 0)
    };
    pool.on_report(0, local, credits);
    for _ in 0..2 {
        let target = pool
            .choose(999, &query, &mut rng)
            .expect("credits are left");
        pool.start(999, target, Class::Batch).expect("usable");
    }
    assert!(
        pool.choose(999, &query, &mut rng).is_err(),
        "all credits are spent"
    );
    pool.on_report(1_000, local, credits);
    assert!(pool.choose(1_999, &query, &mut rng).is_ok());
    assert!(
        pool.choose(2_000, &query, &mut rng).is_err(),
        "the credits have expired"
    );
}

#[test]
fn slow_targets_ejected_within_share() {
    let mut pool = Pool::new(PoolOptions::default());
    let mut rng = StdRng::seed_from_u64(SEED);
    let targets: Vec<_> = (0..8)
        .map(|i| add(&mut pool, &format!("vm-{i}"), true))
        .collect();
    let mut now_ms = 0;
    for _ in 0..100 {
        for (index, target) in targets.iter().enumerate() {
            let first_byte_us = if index < 3 { 500_000 } else { 100_000 };
            if let Some(attempt) = pool.start(now_ms, *target, Class::Interactive) {
                now_ms += 10;
                pool.end(
                    now_ms,
                    attempt,
                    AttemptOutcome::Answered { first_byte_us },
                    &mut rng,
                );
            }
        }
        let held = targets
            .iter()
            .filter(|target| is_held(&pool, now_ms, **target));
        assert!(
            held.count() <= 2,
            "at most a quarter of 8 targets may be ejected"
        );
    }
    let held: Vec<_> = targets
        .iter()
        .map(|target| is_held(&pool, now_ms, *target))
        .collect();
    assert_eq!(
        held[..3].iter().filter(|held| **held).count(),
        2,
        "{held:?}"
    );
    assert!(!held[3..].contains(&true), "{held:?}");
}

fn is_held(pool: &Pool, now_ms: u64, target: TargetKey) -> bool {
    let status = pool.status(now_ms, target).expect("present");
    status.breaker != BreakerState::Closed
}

#[test]
fn one_shot_requests_leave_probes_alone() {
    let (mut pool, local, remote, mut rng) = setup();
    for _ in 0..3 {
        let attempt = pool
            .start(0, local, Class::Interactive)
            .expect("the breaker is closed");
        pool.end(0, attempt, AttemptOutcome::Failed, &mut rng);
    }
    let query = TargetQuery {
        repeatable: false,
        ..ONLINE
    };
    assert_eq!(pool.choose(700, &query, &mut rng), Ok(remote));
    assert_eq!(pool.choose(700, &ONLINE, &mut rng), Ok(local));
    pool.stop_use(remote);
    assert_eq!(pool.choose(700, &query, &mut rng), Ok(local));
}
