//! Limits of callers, and admission by the expected wait in a pool.
//!
//! The properties guard against leaked permits, which would lock a caller out for good.

use eel_route::{CallerLimit, CallerLimits, PoolLoad};
use eel_types::Name;
use eel_verdict::Reason;
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 0x5eed_0003;
const LIMIT: CallerLimit = CallerLimit {
    rate_per_s: 4,
    burst: 2,
    concurrency: 3,
};

#[test]
fn rate_gives_exact_time() {
    let name = Name::from("ridgelog");
    let mut limits = CallerLimits::default();
    limits.set(0, &name, LIMIT);
    for _ in 0..LIMIT.burst {
        let permit = limits.try_acquire(0, &name).expect("within the burst");
        limits.release(0, permit);
    }
    let refusal = limits.try_acquire(100, &name).expect_err("over the rate");
    assert_eq!(
        (refusal.reason, refusal.retry_after_ms),
        (Reason::CallerLimit, Some(150))
    );
    assert!(limits.try_acquire(249, &name).is_err());
    assert!(limits.try_acquire(250, &name).is_ok());
}

#[test]
fn concurrency_is_bounded() {
    let name = Name::from("ridgelog");
    let mut limits = CallerLimits::default();
    limits.set(
        0,
        &name,
        CallerLimit {
            burst: 100,
            ..LIMIT
        },
    );
    let permits: Vec<_> = (0..LIMIT.concurrency)
        .map(|_| limits.try_acquire(0, &name))
        .collect();
    let refusal = limits
        .try_acquire(0, &name)
        .expect_err("all permits are held");
    assert!(refusal.retry_after_ms.is_some());
    limits.release(10, permits[0].expect("a permit"));
    limits.release(10, permits[0].expect("a permit"));
    assert!(limits.try_acquire(10, &name).is_ok());
    assert!(
        limits.try_acquire(10, &name).is_err(),
        "a double release freed two permits"
    );
}

#[test]
fn unknown_caller_is_refused() {
    let mut limits = CallerLimits::default();
    let refusal = limits
        .try_acquire(0, &Name::from("nobody"))
        .expect_err("unknown");
    assert_eq!(refusal.reason, Reason::Unauthorized);
}

#[test]
fn permits_never_leak() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let names = ["a", "b", "c"].map(Name::from);
        let mut limits = CallerLimits::default();
        let mut held = Vec::new();
        for (now_ms, (action, pick)) in (0..).zip(steps) {
            let name = &names[usize::from(pick) % names.len()];
            match action % 4 {
                0 => limits.set(now_ms, name, LIMIT),
                1 => held.extend(limits.try_acquire(now_ms, name)),
                2 if !held.is_empty() => {
                    let permit = held.swap_remove(usize::from(pick) % held.len());
                    limits.release(now_ms, permit);
                    limits.release(now_ms, permit);
                }
                3 if pick < 16 => limits.remove(name),
                _ => {}
            }
            let within = names
                .iter()
                .all(|name| limits.open(name) <= LIMIT.concurrency);
            if !within || limits.permits() != held.len() {
                return false;
            }
        }
        for permit in held {
            limits.release(1_000, permit);
        }
        limits.permits() == 0 && names.iter().all(|name| limits.open(name) == 0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn queue_fits_deadline() {
    // (in flight, time left in ms, retry delay in ms if refused), with 10 slots and 200 ms per request.
    let cases = [
        (0, 1, None),
        (9, 1, None),
        (19, 200, None),
        (29, 399, Some(100)),
        (29, 400, None),
        (109, 500, Some(1_500)),
    ];
    for (in_flight, time_left_ms, refused) in cases {
        let load = PoolLoad {
            slots: 10,
            in_flight,
            mean_service_ms: 200,
        };
        let admitted = load.admit(time_left_ms);
        let retry_after_ms = admitted.err().and_then(|refusal| refusal.retry_after_ms);
        assert_eq!(
            retry_after_ms, refused,
            "{in_flight} in flight, {time_left_ms} ms left"
        );
    }
    let expired = PoolLoad::default().admit(0).expect_err("expired");
    assert_eq!(expired.reason, Reason::DeadlineExceeded);
}
