//! Retry decisions by verdict, reason, deadline and budget.
//!
//! The tests guard against running a request twice that may not be repeated, and against a final verdict that ignores
//! an earlier attempt.

use eel_route::{
    Attempts, FailedAttempt, Pool, PoolOptions, RetryBudget, RetryBudgetOptions, RetryDecision,
    RetryOptions, TargetKey,
};
use eel_verdict::{
    Reason, Refusal,
    Verdict::{self, MayHaveRun, NotRun, Ran},
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 0x5eed_0001;
const DEADLINE_MS: u64 = 1_000;

fn target() -> TargetKey {
    crate::target_choice::add(&mut Pool::new(PoolOptions::default()), "vm-1", true)
}

fn end(verdict: Verdict, reason: Reason) -> FailedAttempt {
    FailedAttempt {
        verdict,
        reason,
        retry_after_ms: None,
        response_started: false,
    }
}

#[test]
fn beside_silent_ones() {
    let cases = [
        ("the first one", true, 1, 0, true),
        ("not repeatable", false, 1, 0, false),
        ("all attempts used", true, 3, 0, false),
        ("too late", true, 1, DEADLINE_MS - 19, false),
    ];
    for (case, repeatable, started, now_ms, expected) in cases {
        let mut budget = RetryBudget::new(0, RetryBudgetOptions::default());
        let mut attempts = Attempts::new(RetryOptions::default(), repeatable, DEADLINE_MS);
        for _ in 0..started {
            attempts.on_start(target());
        }
        let may_start = attempts.try_start_beside(now_ms, &mut budget);
        assert_eq!(may_start, expected, "{case}");
    }
    let attempts = Attempts::new(RetryOptions::default(), true, DEADLINE_MS);
    let mut budget = RetryBudget::new(0, RetryBudgetOptions::default());
    let starts = (0..10_000).filter(|_| attempts.try_start_beside(0, &mut budget));
    assert!(starts.count() < 10_000, "the budget is spent");
}

#[test]
fn first_end() {
    use Reason::{BadRequest, Cancelled, Leaving, Overloaded, TargetFailed, Truncated};
    let cases = [
        (NotRun, Overloaded, false, 0, true),
        (NotRun, Leaving, false, 0, true),
        (NotRun, TargetFailed, false, 0, true),
        (NotRun, BadRequest, true, 0, false),
        (NotRun, Cancelled, true, 0, false),
        (MayHaveRun, TargetFailed, false, 0, false),
        (MayHaveRun, TargetFailed, true, 0, true),
        (Ran, Truncated, false, 0, false),
        (Ran, Truncated, true, 0, true),
        (NotRun, Overloaded, true, DEADLINE_MS - 20, true),
        (NotRun, Overloaded, true, DEADLINE_MS - 19, false),
        (NotRun, Overloaded, true, DEADLINE_MS + 1, false),
    ];
    for (verdict, reason, repeatable, now_ms, retried) in cases {
        let mut budget = RetryBudget::new(0, RetryBudgetOptions::default());
        let mut attempts = Attempts::new(RetryOptions::default(), repeatable, DEADLINE_MS);
        attempts.on_start(target());
        let next = attempts.on_end(now_ms, end(verdict, reason), &mut budget);
        let case = format!("{verdict} {reason}, repeatable {repeatable}, at {now_ms} ms");
        assert_eq!(next == RetryDecision::Retry, retried, "{case}: {next:?}");
        if let RetryDecision::Finish(refusal) = next {
            assert_eq!(refusal.verdict, verdict, "{case}");
        }
    }
}

#[test]
fn no_further_target() {
    use Reason::{NoTarget, Overloaded, TargetFailed, Truncated};
    let cases = [
        (NotRun, Overloaded, NotRun, NoTarget),
        (MayHaveRun, TargetFailed, MayHaveRun, TargetFailed),
        (Ran, Truncated, Ran, Truncated),
    ];
    for (verdict, reason, final_verdict, final_reason) in cases {
        let mut budget = RetryBudget::new(0, RetryBudgetOptions::default());
        let mut attempts = Attempts::new(RetryOptions::default(), true, DEADLINE_MS);
        attempts.on_start(target());
        let next = attempts.on_end(0, end(verdict, reason), &mut budget);
        assert_eq!(next, RetryDecision::Retry, "{verdict} {reason}");
        let refusal = attempts.finish(Refusal::not_run(NoTarget).retry_after(500));
        assert_eq!(refusal.verdict, final_verdict, "{verdict} {reason}");
        assert_eq!(refusal.reason, final_reason, "{verdict} {reason}");
        assert_eq!(refusal.retry_after_ms, Some(500), "{verdict} {reason}");
    }
}

#[test]
fn started_response_is_final() {
    let mut budget = RetryBudget::new(0, RetryBudgetOptions::default());
    let mut attempts = Attempts::new(RetryOptions::default(), true, DEADLINE_MS);
    attempts.on_start(target());
    let end = FailedAttempt {
        response_started: true,
        ..end(Ran, Reason::Truncated)
    };
    let next = attempts.on_end(0, end, &mut budget);
    assert!(matches!(next, RetryDecision::Finish(refusal) if refusal.verdict == Ran));
}

#[test]
fn verdict_covers_earlier_attempts() {
    let mut budget = RetryBudget::new(0, RetryBudgetOptions::default());
    let mut attempts = Attempts::new(RetryOptions::default(), true, DEADLINE_MS);
    attempts.on_start(target());
    let next = attempts.on_end(0, end(MayHaveRun, Reason::TargetFailed), &mut budget);
    assert_eq!(next, RetryDecision::Retry);
    let refusal = attempts.finish(Refusal::not_run(Reason::NoTarget).retry_after(500));
    assert_eq!(refusal.verdict, MayHaveRun);
    assert_eq!(refusal.retry_after_ms, Some(500));
}

#[test]
fn earlier_run_forbids_retry() {
    fn property(ends: Vec<(u8, bool)>, repeatable: bool, max_attempts: u8) -> bool {
        let options = RetryOptions {
            max_attempts: u32::from(max_attempts),
            min_time_left_ms: 0,
        };
        let mut budget = RetryBudget::new(0, RetryBudgetOptions::default());
        let mut attempts = Attempts::new(options, repeatable, DEADLINE_MS);
        let mut worst = NotRun;
        let mut count = 0;
        for (pick, response_started) in ends {
            let verdict = [NotRun, NotRun, MayHaveRun, Ran][usize::from(pick) % 4];
            attempts.on_start(target());
            count += 1;
            worst = worst.and(verdict);
            let end = FailedAttempt {
                response_started,
                ..end(verdict, Reason::TargetFailed)
            };
            match attempts.on_end(0, end, &mut budget) {
                RetryDecision::Finish(refusal) => return refusal.verdict == worst,
                RetryDecision::Retry => {
                    let allowed = repeatable || worst == NotRun;
                    if !allowed || response_started || count >= u32::from(max_attempts) {
                        return false;
                    }
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(32, SEED))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u8, bool)>, bool, u8) -> bool);
}

#[test]
fn retries_stay_within_budget() {
    fn property(steps: Vec<(bool, u8)>) -> bool {
        let options = RetryBudgetOptions {
            earned_milli: 100,
            floor_per_s: 2,
            capacity: 10,
        };
        let mut budget = RetryBudget::new(0, options);
        let (mut now_ms, mut successes, mut retries) = (0, 0, 0);
        for (success, elapsed_ms) in steps {
            now_ms += u64::from(elapsed_ms);
            if success {
                budget.on_success();
                successes += 1;
            } else if budget.try_spend(now_ms) {
                retries += 1;
            }
        }
        retries * 1_000 <= 10_000 + successes * 100 + now_ms * 2
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(500)
        .quickcheck(property as fn(Vec<(bool, u8)>) -> bool);
}
