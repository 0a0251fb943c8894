//! Trials of blocked parts.
//!
//! Guards against a part that is blocked for long although it crashes nothing, because its trials come late or end without
//! a result, and against trials that come too often or that several nodes start.

use eel_quarantine::{Check, Prompt, Quarantine, RecordUpdate, StoredBlock, TrialEnd};

use crate::fixture::{crash, prompt, set};

const NOW_UNIX_MS: u64 = 1_000_000;

/// How long a day of the users' bench is at the most.
const DAY_MS: u64 = 92_000;
/// How long items may lie idle at the end of a day: 18 s, of which 5 s are the calm ones in which they would have run.
const MAX_FIRST_DELAY_MS: u64 = 13_000;
/// How many requests with a part that crashes targets may reach targets after it was found.
const MAX_REACHING: usize = 3;

/// Returns a quarantine that blocks `bad` since [`NOW_UNIX_MS`], as the record at revision 7 says.
fn blocked() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.on_crash(number * 100, crash(number, number, "bad"));
    }
    quarantine.on_stored(300, &StoredBlock::new(NOW_UNIX_MS, set("bad")), 7);
    quarantine
}

/// Returns the updates of a trial that is due; panics if none is.
fn due(quarantine: &Quarantine, now_unix_ms: u64, request: &Prompt) -> Vec<RecordUpdate> {
    match quarantine.check(now_unix_ms, request) {
        Check::Trial(updates) => updates,
        check => panic!("no trial is due: {check:?}"),
    }
}

/// Starts the trial that is due and returns its record.
fn start(quarantine: &mut Quarantine, now_unix_ms: u64) -> StoredBlock {
    let [update] = &due(quarantine, now_unix_ms, &prompt(9, "bad"))[..] else {
        panic!("one block");
    };
    quarantine.on_trial_started(300, &update.record, update.revision + 1);
    update.record.clone()
}

/// Ends the trial, stores its end and returns when the next one is due.
fn end(quarantine: &mut Quarantine, now_unix_ms: u64) -> u64 {
    quarantine.on_trial_ended(set("bad").id(), TrialEnd::Inconclusive);
    let [update] = &quarantine.ended_trials(now_unix_ms)[..] else {
        panic!("one trial has ended");
    };
    quarantine.on_trial_end_stored(update.record.parts.id());
    quarantine.on_stored(300, &update.record, update.revision + 1);
    assert!(quarantine.ended_trials(now_unix_ms).is_empty());
    update.record.next_trial_unix_ms
}

#[test]
fn stored_first() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.on_crash(number * 100, crash(number, number, "bad"));
    }
    let request = prompt(9, "bad");
    let much_later = NOW_UNIX_MS + 100_000_000;
    let unstored = quarantine.check(much_later, &request);
    assert_eq!(unstored, Check::Block, "not stored");
    assert_eq!(quarantine.unstored(300), [set("bad")]);
    quarantine.on_stored(300, &StoredBlock::new(NOW_UNIX_MS, set("bad")), 7);
    assert!(quarantine.unstored(300).is_empty());
    let [update] = &due(&quarantine, much_later, &request)[..] else {
        panic!("one block");
    };
    assert_eq!(update.revision, 7);
    assert!(quarantine.blocks(&request), "a trial is not retried");
}

#[test]
fn soon_at_first_then_rare() {
    let mut quarantine = blocked();
    let mut now_unix_ms = NOW_UNIX_MS;
    let mut trials = Vec::new();
    for number in 10..20 {
        while quarantine.check(now_unix_ms, &prompt(9, "bad")) == Check::Block {
            now_unix_ms += 100;
        }
        trials.push(now_unix_ms - NOW_UNIX_MS);
        start(&mut quarantine, now_unix_ms);
        let check = quarantine.check(now_unix_ms, &prompt(9, "bad"));
        assert_eq!(check, Check::Block, "one at a time");
        quarantine.on_crash(300, crash(number, number, "bad"));
        end(&mut quarantine, now_unix_ms);
    }
    assert!(trials[0] <= MAX_FIRST_DELAY_MS, "{trials:?}");
    let in_a_day = trials.iter().filter(|&&it| it <= DAY_MS).count();
    assert!(in_a_day <= MAX_REACHING, "{trials:?}");
    let pauses: Vec<u64> = trials.windows(2).map(|it| it[1] - it[0]).collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
}

#[test]
fn cut_off_by_another_cause() {
    let mut quarantine = blocked();
    let started_unix_ms = NOW_UNIX_MS + 10_000;
    for _ in 0..20 {
        start(&mut quarantine, started_unix_ms);
        let next_unix_ms = end(&mut quarantine, started_unix_ms);
        assert!(next_unix_ms <= started_unix_ms + 2_000);
        let record = StoredBlock {
            next_trial_unix_ms: started_unix_ms,
            ..StoredBlock::new(NOW_UNIX_MS, set("bad"))
        };
        quarantine.on_stored(300, &record, 7);
    }
}

#[test]
fn crash_seen_after_the_end() {
    let mut quarantine = blocked();
    start(&mut quarantine, NOW_UNIX_MS + 10_000);
    quarantine.on_trial_ended(set("bad").id(), TrialEnd::Inconclusive);
    quarantine.on_crash(300, crash(4, 4, "bad"));
    let next_unix_ms = end(&mut quarantine, NOW_UNIX_MS + 10_000);
    assert!(next_unix_ms > NOW_UNIX_MS + 15_000);
}

#[test]
fn node_that_ends_in_the_middle() {
    let mut quarantine = blocked();
    let during = start(&mut quarantine, NOW_UNIX_MS + 10_000);
    let mut other = Quarantine::default();
    other.on_stored(0, &during, 8);
    let request = prompt(9, "bad");
    assert_eq!(other.check(NOW_UNIX_MS + 10_100, &request), Check::Block);
    due(&other, NOW_UNIX_MS + 15_100, &request);
}

#[test]
fn completed_trial() {
    let mut quarantine = blocked();
    start(&mut quarantine, NOW_UNIX_MS + 10_000);
    assert_eq!(
        quarantine.on_completed(400, &prompt(9, "bad").parts),
        [set("bad")]
    );
    quarantine.on_trial_ended(set("bad").id(), TrialEnd::Inconclusive);
    assert!(quarantine.ended_trials(NOW_UNIX_MS + 10_000).is_empty());
    assert_eq!(quarantine.unremoved(), [set("bad").id()]);
}

#[test]
fn record_changed_meanwhile() {
    let mut quarantine = blocked();
    start(&mut quarantine, NOW_UNIX_MS + 10_000);
    quarantine.on_trial_ended(set("bad").id(), TrialEnd::Inconclusive);
    quarantine.on_trial_end_stored(set("bad").id());
    assert!(quarantine.ended_trials(NOW_UNIX_MS + 10_000).is_empty());
}

#[test]
fn several_blocks_together() {
    let mut quarantine = blocked();
    quarantine.on_stored(300, &StoredBlock::new(NOW_UNIX_MS, set("bad first")), 8);
    let request = prompt(9, "first bad");
    let updates = due(&quarantine, NOW_UNIX_MS + 10_000, &request);
    assert_eq!(updates.len(), 2);
    for (revision, update) in (10..).zip(&updates) {
        quarantine.on_trial_started(400, &update.record, revision);
    }
    quarantine.on_crash(500, crash(4, 4, "first bad"));
    assert_eq!(quarantine.ended_trials(NOW_UNIX_MS + 10_000).len(), 2);
    quarantine.on_completed(600, &request.parts);
    assert!(quarantine.is_empty());
}

#[test]
fn abandoned_block() {
    const A_DAY_MS: u64 = 86_400_000;
    let mut quarantine = blocked();
    let now_unix_ms = NOW_UNIX_MS + A_DAY_MS;
    assert!(quarantine.end_abandoned(400, now_unix_ms).is_empty());
    let ended = quarantine.end_abandoned(400, now_unix_ms + 60_000);
    assert_eq!(ended, [set("bad")]);
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.unremoved(), [set("bad").id()]);
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
