//! The choice of a target.

use eel_fleet::{AttemptEnd, Work};

use crate::fixture::{SERVICE, board, chosen, report, target, wish};

#[test]
fn choice_table() {
    // Loads are those of a peer: online, then batch, of two slots a target.
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
        let mut board = board(&[("near", "dc-a", 2), ("far", "dc-b", 2)]);
        assert!(board.on_report(10, &report(9, 1, loads)));
        assert_eq!(
            chosen(&board, 20, Work::Online).as_deref(),
            online,
            "{name}, online"
        );
        assert_eq!(
            chosen(&board, 20, Work::Batch).as_deref(),
            batch,
            "{name}, batch"
        );
    }
}

#[test]
fn draining_target() {
    let mut board = board(&[("a", "dc-a", 2)]);
    let mut leaving = target("a", "dc-a", 2);
    leaving.is_draining = true;
    board.set_target(leaving);
    assert_eq!(chosen(&board, 0, Work::Online), None);
    assert_eq!(board.slots(0, SERVICE), 0);
}

#[test]
fn excluded_target() {
    let board = board(&[("a", "dc-a", 2), ("b", "dc-b", 2)]);
    let first = board
        .choose(0, SERVICE, &wish(Work::Online))
        .expect("a target");
    let excluded = [first];
    let again = eel_fleet::Wish {
        excluded: &excluded,
        ..wish(Work::Online)
    };
    assert_ne!(board.choose(0, SERVICE, &again), Some(first));
}

#[test]
fn new_incarnation_starts_empty() {
    let mut board = board(&[("a", "dc-a", 1)]);
    let key = board
        .choose(0, SERVICE, &wish(Work::Online))
        .expect("a target");
    board.start(0, key, Work::Online);
    assert_eq!(chosen(&board, 0, Work::Online), None);
    let mut reborn = target("a", "dc-a", 1);
    reborn.born_unix_ms = Some(2);
    board.set_target(reborn);
    assert_eq!(chosen(&board, 0, Work::Online).as_deref(), Some("a"));
    board.end(0, key, Work::Online, AttemptEnd::Answered);
    assert_eq!(
        board.own_loads(),
        [],
        "the end of an earlier incarnation's attempt changes nothing"
    );
}

#[test]
fn slots_of_other_services() {
    let mut board = board(&[("a", "dc-a", 2)]);
    let mut other = target("b", "dc-a", 5);
    other.service = "dispatch".into();
    board.set_target(other);
    assert_eq!(board.slots(0, SERVICE), 2);
    assert_eq!(board.slots(0, "dispatch"), 5);
    assert_eq!(board.slots(0, "unknown"), 0);
}
