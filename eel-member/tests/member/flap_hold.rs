//! The time for which a flapping target is not used: it doubles with each failure and decays while the target stays up.
//!
//! Guards against new work for a target that fails again right after each recovery, which happens without this time.

use eel_member::{Event, Membership};

use crate::fixture::{feed, is_in_use, list, membership, message, silent, vm};

const STEP_MS: u64 = 250;

/// Lets the target fail and then respond; returns how long it was not used.
fn flap(membership: &mut Membership, now_ms: &mut u64) -> u64 {
    feed(membership, *now_ms, silent("a", 1));
    let failed_ms = *now_ms;
    while !is_in_use(membership, "a") {
        *now_ms += STEP_MS;
        feed(membership, *now_ms, message("a", 1));
        feed(membership, *now_ms, Event::Tick);
    }
    *now_ms - failed_ms
}

fn stay_up(membership: &mut Membership, now_ms: &mut u64, duration_ms: u64) {
    let until_ms = *now_ms + duration_ms;
    while *now_ms < until_ms {
        *now_ms += STEP_MS;
        feed(membership, *now_ms, message("a", 1));
        feed(membership, *now_ms, Event::Tick);
    }
}

#[test]
fn hold_grows_and_decays() {
    let mut membership = membership();
    let mut now_ms = 0;
    feed(&mut membership, now_ms, list(&[vm("a")]));
    feed(&mut membership, now_ms, message("a", 1));
    let mut held_ms: Vec<u64> = (0..7).map(|_| flap(&mut membership, &mut now_ms)).collect();
    stay_up(&mut membership, &mut now_ms, 60_000);
    held_ms.push(flap(&mut membership, &mut now_ms));
    stay_up(&mut membership, &mut now_ms, 600_000);
    held_ms.push(flap(&mut membership, &mut now_ms));
    // Seven failures in a row. The eighth comes 90 s after the seventh, when the count has decayed by three, and counts
    // as the fifth. The ninth comes after ten minutes without a failure.
    let expected = [500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 8_000, 500];
    assert_eq!(held_ms, expected);
}
