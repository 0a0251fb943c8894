//! Trials of blocked parts.
//!
//! Guards against a part that is blocked for good although it crashes nothing any more, and against trials that come too
//! often or that several nodes start.

use eel_quarantine::{Check, Quarantine, StoredBlock};

use crate::fixture::{crash, prompt, set};

const NOW_UNIX_MS: u64 = 1_000_000;

#[test]
fn rare_and_stored_first() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.on_crash(number * 100, crash(number, number, "bad"));
    }
    let request = prompt(9, "bad");
    let much_later = NOW_UNIX_MS + 100_000_000;
    assert_eq!(
        quarantine.check(much_later, &request),
        Check::Block,
        "not stored"
    );
    assert_eq!(quarantine.unstored(300), [set("bad")]);
    let stored = StoredBlock::new(NOW_UNIX_MS, set("bad"));
    quarantine.on_stored(300, &stored, 7);
    assert!(quarantine.unstored(300).is_empty());
    assert_eq!(
        quarantine.check(NOW_UNIX_MS + 59_999, &request),
        Check::Block
    );
    let Check::Trial(trial) = quarantine.check(NOW_UNIX_MS + 60_000, &request) else {
        panic!("a trial is due");
    };
    assert_eq!(trial.revision, 7);
    quarantine.on_stored(300, &trial.record, 8);
    let second_ms = NOW_UNIX_MS + 60_000 + 600_000;
    assert_eq!(quarantine.check(second_ms - 1, &request), Check::Block);
    assert!(matches!(
        quarantine.check(second_ms, &request),
        Check::Trial(_)
    ));
    assert!(quarantine.blocks(&request), "a trial is not retried");
}

#[test]
fn stored_by_others() {
    let mut quarantine = Quarantine::default();
    let stored = StoredBlock::new(NOW_UNIX_MS, set("bad"));
    let decoded = StoredBlock::decode(&stored.encode()).expect("a record");
    assert!(quarantine.on_stored(0, &decoded, 1));
    assert!(quarantine.blocks(&prompt(9, "bad")));
    quarantine.retain_listed(10, &[set("bad").id()]);
    assert!(!quarantine.is_empty());
    quarantine.retain_listed(10, &[]);
    assert!(quarantine.is_empty());
    for malformed in [
        "",
        "{}",
        "[]",
        r#"{"ids":"","parts":[],"trials":0,"next_trial_unix_ms":0}"#,
    ] {
        assert_eq!(
            StoredBlock::decode(malformed.as_bytes()),
            None,
            "{malformed}"
        );
    }
}

#[test]
fn any_node_that_saw_a_crash_stores_at_once() {
    // The node has seen the first crash; the last one arrives in a notice.
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    one.on_crash(0, crash(0, 0, "bad"));
    for number in 1..3 {
        other.on_crash(number * 100, crash(number, number, "bad"));
    }
    one.on_notice(300, other.notice(300));
    assert_eq!(one.unstored(300), [set("bad")]);
    let mut stranger = Quarantine::default();
    stranger.on_notice(300, one.notice(300));
    assert!(stranger.unstored(300).is_empty());
    assert_eq!(stranger.unstored(2_300), [set("bad")]);
}
