//! Pauses and trials at targets that fail, by the results of attempts.
//!
//! A target that is down must not get more than one trial at a time, and a full target or a cancelled attempt must not
//! count as a failure.

use eel_fleet::{AttemptOutcome, WorkKind};

use crate::fixture::{SERVICE, chosen, query, selector};

#[test]
fn failed_target_is_avoided() {
    let mut selector = selector(&[("near", "dc-a", 2), ("far", "dc-b", 2)]);
    let key = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    selector.start(0, key, WorkKind::Online);
    selector.end(10, key, WorkKind::Online, AttemptOutcome::Failed);
    assert_eq!(
        chosen(&selector, 11, WorkKind::Online).as_deref(),
        Some("far")
    );
    assert_eq!(
        chosen(&selector, 300, WorkKind::Online).as_deref(),
        Some("near"),
        "one trial is allowed after the pause"
    );
}

#[test]
fn one_trial_at_a_time() {
    let mut selector = selector(&[("near", "dc-a", 4)]);
    let key = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    selector.start(0, key, WorkKind::Online);
    selector.end(0, key, WorkKind::Online, AttemptOutcome::Failed);
    selector.start(300, key, WorkKind::Online);
    assert_eq!(
        chosen(&selector, 301, WorkKind::Online),
        None,
        "a trial is in flight"
    );
    selector.on_response(key);
    assert_eq!(
        chosen(&selector, 302, WorkKind::Online).as_deref(),
        Some("near")
    );
}

#[test]
fn silence_without_end() {
    let mut selector = selector(&[("near", "dc-a", 4)]);
    let key = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    selector.start(0, key, WorkKind::Online);
    selector.on_silence(500, key);
    assert_eq!(chosen(&selector, 501, WorkKind::Online), None);
}

#[test]
fn full_is_no_failure() {
    let mut selector = selector(&[("near", "dc-a", 4)]);
    let key = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    for now_ms in [0, 100, 200] {
        selector.start(now_ms, key, WorkKind::Online);
        selector.end(now_ms, key, WorkKind::Online, AttemptOutcome::Full);
    }
    assert_eq!(chosen(&selector, 210, WorkKind::Online), None);
    assert_eq!(
        chosen(&selector, 260, WorkKind::Online).as_deref(),
        Some("near")
    );
}

#[test]
fn cancelled_attempt_is_no_failure() {
    let mut selector = selector(&[("near", "dc-a", 4)]);
    let key = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    selector.start(0, key, WorkKind::Online);
    selector.end(0, key, WorkKind::Online, AttemptOutcome::Cancelled);
    assert_eq!(
        chosen(&selector, 1, WorkKind::Online).as_deref(),
        Some("near")
    );
}
