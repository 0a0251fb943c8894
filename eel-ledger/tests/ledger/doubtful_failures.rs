//! The decision when failed runs end an item.
//!
//! Guards against an item that one doubtful response ends, and against one that runs without a limit.

use eel_ledger::{
    Claim, Doubts, ErrorCause, ItemRef, Progress, RunOutcome, TextEnd, Worklist, cause_to_end,
};

#[test]
fn causes_to_end() {
    let (failures, rejected) = (Some(ErrorCause::Failures), Some(ErrorCause::Rejected));
    // Proven failures, doubtful ones, doubtful rejections, attempts of the route.
    for (proven, doubtful, doubtful_rejections, max_attempts, cause) in [
        (0, 0, 0, 3, None),
        (2, 0, 0, 3, None),
        (3, 0, 0, 3, failures),
        (0, 3, 0, 3, None),
        (0, 8, 0, 3, None),
        (0, 9, 0, 3, failures),
        (2, 6, 2, 3, None),
        (2, 7, 0, 3, failures),
        (0, 0, 2, 1, None),
        (0, 0, 3, 1, rejected),
        (3, 0, 3, 3, rejected),
        (0, 2, 0, 0, None),
        (0, 3, 0, 0, failures),
        (1, 0, 0, 0, failures),
        (0, 0, 0, u32::MAX, None),
    ] {
        let doubts = Doubts {
            failed: doubtful,
            rejected: doubtful_rejections,
        };
        assert_eq!(
            cause_to_end(proven, doubts, max_attempts),
            cause,
            "{proven} of {max_attempts}, {doubts:?}"
        );
    }
}

#[test]
fn doubts_are_kept() {
    let item = ItemRef {
        job: "j".into(),
        item: 0,
    };
    let mut worklist = Worklist::default();
    let mut finish = |outcome: fn(Progress) -> RunOutcome| {
        let progress = worklist.start(&item);
        worklist.finish(&item, 1, outcome(progress))
    };
    for _ in 0..2 {
        assert_eq!(finish(|it| RunOutcome::Doubtful(it, Claim::Rejected)), None);
        assert_eq!(finish(RunOutcome::Interrupted), None);
        assert_eq!(finish(|it| RunOutcome::Doubtful(it, Claim::Failed)), None);
    }
    let rejected = finish(|it| RunOutcome::Doubtful(it, Claim::Rejected));
    assert_eq!(rejected, Some(ErrorCause::Rejected));
}

#[test]
fn rejected_rests() {
    // The run that is rejected asks for what follows a text that may be whole, each time.
    let item = ItemRef {
        job: "j".into(),
        item: 0,
    };
    let mut worklist = Worklist::default();
    for cause in [None, None, Some(ErrorCause::Rejected)] {
        let progress = worklist.start(&item);
        assert_eq!(
            progress,
            Progress::default(),
            "the item runs from its start"
        );
        let whole = Progress {
            text: "text".into(),
            last_event: Some(1),
            end: TextEnd::Possible,
            ..progress
        };
        let rejected = RunOutcome::claimed(whole, Claim::Rejected);
        assert_eq!(worklist.finish(&item, 1, rejected), cause);
    }
}
