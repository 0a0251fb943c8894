//! The combination of verdicts, and the retries that they allow.
//!
//! The tests guard against a second run of a request that may run only once.

use eel_verdict::Verdict::{self, MayHaveRun, NotRun, Ran};

#[test]
fn worst_wins() {
    let cases = [
        (NotRun, NotRun, NotRun),
        (NotRun, MayHaveRun, MayHaveRun),
        (MayHaveRun, Ran, Ran),
        (NotRun, Ran, Ran),
    ];
    for (a, b, expected) in cases {
        assert_eq!(a.and(b), expected, "{a} and {b}");
        assert_eq!(b.and(a), expected, "{b} and {a}");
    }
}

#[test]
fn retry_needs_proof() {
    let cases: [(Verdict, bool, bool); 6] = [
        (NotRun, false, true),
        (NotRun, true, true),
        (MayHaveRun, false, false),
        (MayHaveRun, true, true),
        (Ran, false, false),
        (Ran, true, true),
    ];
    for (verdict, repeatable, expected) in cases {
        assert_eq!(
            verdict.allows_retry(repeatable),
            expected,
            "{verdict}, repeatable {repeatable}"
        );
    }
}
