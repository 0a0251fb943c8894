//! Guards against wrong decisions of a runner on single events: attempts without limit, an item that blocks its chunk,
//! and sends after a drain or after the lease may have expired.

use eel_batch::{
    Action, ClaimedChunk, DrainReason, Event, ItemIndex, Outcome, Policy, Response, Runner,
};
use eel_verdict::{Reason, Refusal, Verdict};

const ITEM: ItemIndex = ItemIndex(0);

fn runner(items: u32, repeatable: bool) -> Runner {
    let claimed = ClaimedChunk {
        items,
        repeatable,
        hold_until_ms: 1_000_000,
        deadline_ms: 900_000,
        ..ClaimedChunk::default()
    };
    Runner::new(0, claimed, Policy::default())
}

/// Refuses the only item until it ends; returns its outcome and the number of sends.
fn refuse_until_given_up(repeatable: bool, refusal: Refusal) -> (Outcome, u32) {
    let mut runner = runner(1, repeatable);
    let mut sends = 0;
    runner.on_event(0, Event::Tick);
    runner.on_event(0, Event::Marked);
    for round in 0..1_000 {
        let now_ms = round * 800;
        for action in runner.on_event(now_ms, Event::CreditGranted { count: 1 }) {
            sends += u32::from(matches!(action, Action::Send { .. }));
        }
        let event = Event::Refused {
            item: ITEM,
            refusal,
        };
        for action in runner.on_event(now_ms, event) {
            if let Action::Commit(part) = action {
                assert!(part.done.is_some());
                return (part.results[0].outcome.clone(), sends);
            }
        }
    }
    panic!("the item was not given up");
}

#[test]
fn attempts_are_bounded() {
    let policy = Policy::default();
    let cut_off = policy.max_preemptions + policy.max_attempts;
    // Repeatable, refusal, sends, verdict.
    let cases = [
        (
            true,
            Refusal::may_have_run(Reason::TargetFailed),
            5,
            Verdict::MayHaveRun,
        ),
        (
            true,
            Refusal::not_run(Reason::TargetFailed),
            5,
            Verdict::NotRun,
        ),
        (
            true,
            Refusal::not_run(Reason::BadRequest),
            1,
            Verdict::NotRun,
        ),
        (
            true,
            Refusal::may_have_run(Reason::Cancelled),
            cut_off,
            Verdict::MayHaveRun,
        ),
        (
            false,
            Refusal::may_have_run(Reason::Cancelled),
            1,
            Verdict::MayHaveRun,
        ),
        (
            false,
            Refusal::may_have_run(Reason::TargetFailed),
            1,
            Verdict::MayHaveRun,
        ),
        (
            false,
            Refusal::not_run(Reason::TargetFailed),
            5,
            Verdict::NotRun,
        ),
    ];
    for (repeatable, refusal, expected_sends, verdict) in cases {
        let (outcome, sends) = refuse_until_given_up(repeatable, refusal);
        let Outcome::Error(error) = outcome else {
            panic!("{refusal:?} ended with a response");
        };
        assert_eq!(
            (sends, error.attempts, error.verdict, error.reason),
            (expected_sends, expected_sends, verdict, refusal.reason),
            "{repeatable} {refusal:?}"
        );
    }
}

#[test]
fn given_up_item_does_not_block_the_chunk() {
    let mut runner = runner(2, true);
    runner.on_event(0, Event::CreditGranted { count: 2 });
    let refusal = Refusal::not_run(Reason::BadRequest);
    runner.on_event(
        1,
        Event::Refused {
            item: ITEM,
            refusal,
        },
    );
    let response = Response::from_bytes(200, b"{}");
    let item = ItemIndex(1);
    let actions = runner.on_event(2, Event::Answered { item, response });
    assert!(
        matches!(&actions[..], [Action::Commit(part)] if part.done.is_some() && part.results.len() == 2)
    );
    assert!(runner.on_event(3, Event::Committed).is_empty());
    assert!(runner.is_stopped());
}

#[test]
fn nothing_after_a_drain() {
    for drain in [
        DrainReason::Cancelled,
        DrainReason::Expired,
        DrainReason::Leaving,
    ] {
        let mut runner = runner(3, true);
        runner.on_event(0, Event::CreditGranted { count: 1 });
        let actions = runner.on_event(1, Event::Drain(drain));
        let aborts = matches!(&actions[..], [Action::AbortAll]);
        assert_eq!(aborts, drain != DrainReason::Leaving, "{drain:?}");
        assert!(
            runner
                .on_event(2, Event::CreditGranted { count: 9 })
                .is_empty()
        );
        let response = Response::from_bytes(200, b"{}");
        let actions = runner.on_event(
            3,
            Event::Answered {
                item: ITEM,
                response,
            },
        );
        let [Action::Commit(part)] = &actions[..] else {
            panic!("{drain:?}: {actions:?}");
        };
        // A completed result is kept.
        assert!(matches!(
            part.results
                .iter()
                .find(|result| result.item == ITEM)
                .unwrap()
                .outcome,
            Outcome::Response(_)
        ));
        let after = runner.on_event(4, Event::Committed);
        let released = matches!(&after[..], [Action::Release { .. }]);
        assert_eq!(
            (released, part.done.is_some()),
            match drain {
                DrainReason::Leaving => (true, false),
                DrainReason::Cancelled | DrainReason::Expired => (false, true),
            }
        );
        assert!(runner.is_stopped());
    }
}

#[test]
fn stops_before_the_lease_expires() {
    let mut runner = runner(3, true);
    let actions = runner.on_event(
        1_000_000,
        Event::LeaseRenewed {
            hold_until_ms: 2_000_000,
        },
    );
    assert!(matches!(&actions[..], [Action::AbortAll]));
    assert!(
        runner
            .on_event(1_000_001, Event::CreditGranted { count: 1 })
            .is_empty()
    );
}
