//! The choice of a target by locality, load, exclusion and incarnation.
//!
//! The tests guard against work for a target that drains or was tried before, and against load or slots that count for
//! the wrong incarnation or service.

use eel_fleet::{AttemptOutcome, TargetQuery, WorkKind, stable_hash};

use crate::fixture::{SERVICE, chosen, query, report, selector, target};

#[test]
fn choice_table() {
    // A peer's load at each target of two slots: online requests, batch items.
    type Loads<'a> = &'a [(&'a str, u16, u16)];
    let cases: [(&str, Loads<'_>, Option<&str>, Option<&str>); 6] = [
        ("near first", &[], Some("near"), Some("near")),
        (
            "free before far",
            &[("near", 1, 0)],
            Some("near"),
            Some("near"),
        ),
        (
            "free slot before batch slot",
            &[("near", 1, 1)],
            Some("far"),
            Some("far"),
        ),
        (
            "batch slot when none is free",
            &[("near", 1, 1), ("far", 2, 0)],
            Some("near"),
            None,
        ),
        ("full", &[("near", 2, 0), ("far", 2, 0)], None, None),
        (
            "full of batch",
            &[("near", 0, 2), ("far", 0, 2)],
            Some("near"),
            None,
        ),
    ];
    for (name, loads, online, batch) in cases {
        let mut selector = selector(&[("near", "dc-a", 2), ("far", "dc-b", 2)]);
        assert!(selector.on_report(10, &report(9, 1, loads)));
        assert_eq!(
            chosen(&selector, 20, WorkKind::Online).as_deref(),
            online,
            "{name}, online"
        );
        assert_eq!(
            chosen(&selector, 20, WorkKind::Batch).as_deref(),
            batch,
            "{name}, batch"
        );
    }
}

#[test]
fn draining_target() {
    let mut selector = selector(&[("a", "dc-a", 2)]);
    let mut leaving = target("a", "dc-a", 2);
    leaving.is_draining = true;
    selector.set_target(leaving);
    assert_eq!(chosen(&selector, 0, WorkKind::Online), None);
    assert_eq!(selector.capacity(0, SERVICE).slots, 0);
}

#[test]
fn excluded_target() {
    let selector = selector(&[("a", "dc-a", 2), ("b", "dc-b", 2)]);
    let first = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    let excluded = [first];
    let again = eel_fleet::TargetQuery {
        excluded: &excluded,
        only_limited: false,
        ..query(WorkKind::Online)
    };
    assert_ne!(selector.choose(0, SERVICE, &again), Some(first));
}

#[test]
fn new_incarnation_starts_empty() {
    let mut selector = selector(&[("a", "dc-a", 1)]);
    let key = selector
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    selector.start(0, key, WorkKind::Online);
    assert_eq!(chosen(&selector, 0, WorkKind::Online), None);
    let mut restarted = target("a", "dc-a", 1);
    restarted.started_unix_ms = Some(2);
    selector.set_target(restarted);
    assert_eq!(chosen(&selector, 0, WorkKind::Online).as_deref(), Some("a"));
    selector.end(0, key, WorkKind::Online, AttemptOutcome::Answered);
    assert_eq!(
        selector.own_loads(),
        [],
        "the end of an earlier incarnation's attempt changes nothing"
    );
}

#[test]
fn slots_of_other_services() {
    let mut selector = selector(&[("a", "dc-a", 2)]);
    let mut other = target("b", "dc-a", 5);
    other.service = "dispatch".into();
    selector.set_target(other);
    assert_eq!(selector.capacity(0, SERVICE).slots, 2);
    assert_eq!(selector.capacity(0, "dispatch").slots, 5);
    assert_eq!(selector.capacity(0, "unknown").slots, 0);
}

#[test]
fn equal_targets_share() {
    let ids = ["a", "b", "c", "d"];
    let selector = selector(&ids.map(|id| (id, "dc-a", 8)));
    let mut counts = std::collections::BTreeMap::new();
    for request in 0..400 {
        let query = TargetQuery {
            tie_breaker: stable_hash(&format!("request {request}")),
            ..query(WorkKind::Online)
        };
        let key = selector.choose(0, SERVICE, &query).expect("a target");
        *counts.entry(key).or_insert(0) += 1;
    }
    // A target that goes silent gets requests until that is noticed, so no node may send most of them to one.
    assert!(counts.len() == ids.len() && counts.values().all(|count| *count >= 50));
}
