//! The choice of the next item, and the events that end an item.
//!
//! The tests guard against an item that runs twice or never ends, and against text that is lost with an interruption.

use eel_ledger::{ItemQueues, ItemRef, Ledger, Progress, RunOutcome, Worklist};
use eel_types::Name;

use crate::fixture::{Values, head, items, keys, ledger_with};

fn item(job: &str, item: u32) -> ItemRef {
    ItemRef {
        job: job.into(),
        item,
    }
}

/// Returns the next item of the open job that is due first.
fn next(worklist: &Worklist, ledger: &Ledger) -> Option<ItemRef> {
    let (id, job) = *ledger.open_by_due(|_| true).first()?;
    let service = Name::from("a");
    let queues = ItemQueues::new(0, job, None, |_| Some(&service));
    let (_, indices) = queues.iter().next()?;
    let mut items = indices.map(|index| item(id, index));
    items.find(|it| worklist.is_waiting(job, it))
}

fn progress(text: &str, last_event: u64) -> Progress {
    Progress {
        text: text.into(),
        last_event: Some(last_event),
        version: Some("v1".into()),
        ..Progress::default()
    }
}

#[test]
fn due_first() {
    let mut values = Values::default();
    for (id, due_unix_ms) in [("late", 30_000), ("soon", 10_000)] {
        let head = eel_ledger::JobHead {
            due_unix_ms,
            ..head()
        };
        values.apply(&eel_ledger::submission(&keys(), id, head, &items(1)).expect("a transaction"));
    }
    let mut ledger = Ledger::new(keys());
    values.read(&mut ledger);
    let order = |is_mine: &dyn Fn(&str) -> bool| -> Vec<String> {
        let jobs = ledger.open_by_due(is_mine);
        jobs.into_iter().map(|(id, _)| id.to_string()).collect()
    };
    assert_eq!(order(&|_| true), ["soon", "late"]);
    assert_eq!(order(&|job| job == "late"), ["late"]);
}

#[test]
fn in_order_of_index() {
    let (ledger, _) = ledger_with("j", 2);
    let mut worklist = Worklist::default();
    assert_eq!(next(&worklist, &ledger), Some(item("j", 0)));
    worklist.start(&item("j", 0));
    assert_eq!(next(&worklist, &ledger), Some(item("j", 1)));
    worklist.start(&item("j", 1));
    assert_eq!(next(&worklist, &ledger), None);
}

#[test]
fn interrupted_item_resumes() {
    let (ledger, _) = ledger_with("j", 1);
    let mut worklist = Worklist::default();
    assert_eq!(worklist.start(&item("j", 0)), Progress::default());
    worklist.finish(
        &item("j", 0),
        3,
        RunOutcome::Interrupted(progress("a\nb", 2)),
    );
    assert_eq!(next(&worklist, &ledger), Some(item("j", 0)));
    assert_eq!(worklist.start(&item("j", 0)), progress("a\nb", 2));
}

#[test]
fn failures_are_counted() {
    let (ledger, _) = ledger_with("j", 1);
    let mut worklist = Worklist::default();
    for failures in 1..=3 {
        assert_eq!(
            next(&worklist, &ledger),
            Some(item("j", 0)),
            "before failure {failures}"
        );
        let progress = worklist.start(&item("j", 0));
        worklist.finish(&item("j", 0), 3, RunOutcome::Failed(progress));
    }
    assert_eq!(next(&worklist, &ledger), None);
    assert_eq!(worklist.unlisted(), 1);
}

#[test]
fn interruptions_are_not_failures() {
    let (ledger, _) = ledger_with("j", 1);
    let mut worklist = Worklist::default();
    for _ in 0..20 {
        let progress = worklist.start(&item("j", 0));
        worklist.finish(&item("j", 0), 3, RunOutcome::Interrupted(progress));
    }
    assert_eq!(next(&worklist, &ledger), Some(item("j", 0)));
}

#[test]
fn given_up_after_its_time() {
    let (ledger, _) = ledger_with("j", 2);
    let mut worklist = Worklist::default();
    worklist.observe(5_000, &ledger);
    worklist.start(&item("j", 0));
    worklist.give_up(65_000, &ledger, |_| true);
    assert_eq!(worklist.unlisted(), 0, "the clock may be fast");
    worklist.give_up(65_060, &ledger, |_| false);
    assert_eq!(worklist.unlisted(), 0, "another node owns the job");
    worklist.give_up(65_060, &ledger, |_| true);
    assert_eq!(worklist.unlisted(), 1, "the running item is not given up");
}

/// Guards against an age that is counted by the clock of the node that accepted the job, or anew with each step.
#[test]
fn age_from_first_sight() {
    let mut values = Values::default();
    let jobs = [("behind", 0), ("ahead", 9_000_000)];
    for (id, submitted_unix_ms) in jobs {
        let head = eel_ledger::JobHead {
            submitted_unix_ms,
            give_up_unix_ms: submitted_unix_ms + 60_000,
            ..head()
        };
        values.apply(&eel_ledger::submission(&keys(), id, head, &items(1)).expect("a transaction"));
    }
    let mut ledger = Ledger::new(keys());
    values.read(&mut ledger);
    let mut worklist = Worklist::default();
    assert!(worklist.give_up(900_000, &ledger, |_| true).is_empty());
    for now_ms in (900_000..960_060).step_by(60) {
        worklist.observe(now_ms, &ledger);
        assert!(worklist.give_up(now_ms, &ledger, |_| true).is_empty());
    }
    assert_eq!(worklist.give_up(960_060, &ledger, |_| true).len(), 2);
    let mut restarted = Worklist::default();
    restarted.observe(100, &ledger);
    for (id, _) in jobs {
        let head = ledger.job(id).and_then(eel_ledger::Job::head);
        let left_ms = restarted.left_ms(100, &id.into(), head.expect("a head"));
        assert_eq!(left_ms, 60_060, "{id}: the age counts anew");
    }
}

#[test]
fn ended_job() {
    let (mut ledger, _) = ledger_with("j", 2);
    let mut worklist = Worklist::default();
    worklist.finish(&item("j", 0), 3, RunOutcome::Rejected);
    ledger.on_put(&keys().end("j"), &bytes::Bytes::new());
    assert_eq!(next(&worklist, &ledger), None);
    worklist.forget_listed(&ledger);
    assert_eq!(worklist.unlisted(), 0);
}
