//! Targets that fail, by what attempts meet.

use eel_fleet::{AttemptEnd, Work};

use crate::fixture::{SERVICE, board, chosen, wish};

#[test]
fn failed_target_is_avoided() {
    let mut board = board(&[("near", "dc-a", 2), ("far", "dc-b", 2)]);
    let key = board
        .choose(0, SERVICE, &wish(Work::Online))
        .expect("a target");
    board.start(0, key, Work::Online);
    board.end(10, key, Work::Online, AttemptEnd::Failed);
    assert_eq!(chosen(&board, 11, Work::Online).as_deref(), Some("far"));
    assert_eq!(
        chosen(&board, 300, Work::Online).as_deref(),
        Some("near"),
        "a trial after the pause"
    );
}

#[test]
fn one_trial_at_a_time() {
    let mut board = board(&[("near", "dc-a", 4)]);
    let key = board
        .choose(0, SERVICE, &wish(Work::Online))
        .expect("a target");
    board.start(0, key, Work::Online);
    board.end(0, key, Work::Online, AttemptEnd::Failed);
    board.start(300, key, Work::Online);
    assert_eq!(chosen(&board, 301, Work::Online), None, "the trial runs");
    board.on_answer(key);
    assert_eq!(chosen(&board, 302, Work::Online).as_deref(), Some("near"));
}

#[test]
fn silence_without_end() {
    let mut board = board(&[("near", "dc-a", 4)]);
    let key = board
        .choose(0, SERVICE, &wish(Work::Online))
        .expect("a target");
    board.start(0, key, Work::Online);
    board.on_silence(500, key);
    assert_eq!(chosen(&board, 501, Work::Online), None);
}

#[test]
fn full_is_no_failure() {
    let mut board = board(&[("near", "dc-a", 4)]);
    let key = board
        .choose(0, SERVICE, &wish(Work::Online))
        .expect("a target");
    for now_ms in [0, 100, 200] {
        board.start(now_ms, key, Work::Online);
        board.end(now_ms, key, Work::Online, AttemptEnd::Full);
    }
    assert_eq!(chosen(&board, 210, Work::Online), None);
    assert_eq!(chosen(&board, 260, Work::Online).as_deref(), Some("near"));
}

#[test]
fn broken_off_says_nothing() {
    let mut board = board(&[("near", "dc-a", 4)]);
    let key = board
        .choose(0, SERVICE, &wish(Work::Online))
        .expect("a target");
    board.start(0, key, Work::Online);
    board.end(0, key, Work::Online, AttemptEnd::BrokenOff);
    assert_eq!(chosen(&board, 1, Work::Online).as_deref(), Some("near"));
}
