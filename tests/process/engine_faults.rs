//! Faults of the target: the verdict that the caller gets must match what was executed.
//!
//! Guards against the verdict `not-run` about a request that was executed, and against a truncated stream that passes
//! for a complete one. Both can come about when the target closes the connection or stops sending before the response's
//! end.

use eel_standin::engine::Fault;

use crate::{
    fleet::{Platform, Service},
    outcome::{CallerOutcome, SHORT_DEADLINE_MS, call, check_verdict, outcome_of},
};

struct Case {
    name: &'static str,
    fault: Fault,
    repeatable: bool,
    verdict: &'static str,
    executions: u32,
}

const fn case(name: &'static str, fault: Fault, verdict: &'static str, executions: u32) -> Case {
    Case {
        name,
        fault,
        repeatable: false,
        verdict,
        executions,
    }
}

const CASES: [Case; 7] = [
    case(
        "closed before execution",
        Fault::CloseBeforeExecution,
        "may-have-run",
        0,
    ),
    case(
        "closed after execution",
        Fault::CloseAfterExecution,
        "may-have-run",
        1,
    ),
    case(
        "closed before the first byte",
        Fault::TruncateAfter { parts: 0 },
        "may-have-run",
        1,
    ),
    case(
        "closed between first byte and end",
        Fault::TruncateAfter { parts: 1 },
        "may-have-run",
        1,
    ),
    case("no response", Fault::Hang, "may-have-run", 1),
    case(
        "no more data after the first byte",
        Fault::HangAfter { parts: 1 },
        "may-have-run",
        1,
    ),
    Case {
        repeatable: true,
        ..case("no response", Fault::Hang, "may-have-run", 1)
    },
];

#[tokio::test]
async fn verdicts_match_executions() {
    for case in &CASES {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let target = platform.start_target("t1", "dispatch-runners").await;
        let entry = platform.start_ready_entry("e1").await;
        let name = format!("{}, repeatable: {}", case.name, case.repeatable);
        target.engine.set_fault(case.fault);
        let outcome = outcome_of(call(&entry, case.repeatable, "a", SHORT_DEADLINE_MS)).await;
        let executions = target.engine.counts().of("a").started;
        assert_eq!(
            outcome,
            CallerOutcome::Verdict(case.verdict.to_owned()),
            "{name}"
        );
        assert_eq!(executions, case.executions, "{name}");
        check_verdict(&name, &outcome, case.repeatable, "a", &[&target.engine]);
        target.engine.set_fault(Fault::None);
        let outcome = outcome_of(call(&entry, false, "after", SHORT_DEADLINE_MS)).await;
        assert_eq!(
            outcome,
            CallerOutcome::Success,
            "the target works again after {name}"
        );
    }
}

#[tokio::test]
async fn a_cut_stream_is_never_whole() {
    const STREAM: &str = r#"{"model":"scribe","prompt":"x","max_tokens":5,"stream":true}"#;
    for parts in 0..=5 {
        let mut platform = Platform::start(&[Service::Scribe]).await;
        let target = platform.start_target("t1", "scribe-runners").await;
        let entry = platform.start_ready_entry("e1").await;
        target.engine.set_fault(Fault::TruncateAfter { parts });
        let outcome = outcome_of(entry.post("/v1/completions", "a", STREAM)).await;
        let may_have_run = CallerOutcome::Verdict("may-have-run".to_owned());
        assert!(
            outcome == CallerOutcome::Disconnected || outcome == may_have_run,
            "{parts} parts without the end marker: {outcome:?}"
        );
        assert_eq!(target.engine.counts().of("a").started, 1, "{parts}");
    }
}
