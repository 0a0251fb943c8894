//! A target node that is killed before, during or after an execution: the verdict must match what was executed.
//!
//! Guards against the verdict `not-run` about a request that had started, which happens when an entry node takes the
//! loss of the link for a rejection, and against a repeatable request that fails although another target could run it.

use eel_standin::engine::Fault;
use nix::sys::signal::Signal;

use crate::{
    fleet::{Platform, Service},
    outcome::{CallerOutcome, call, check_verdict, outcome_of, read_outcome},
};

const STREAM: &str = r#"{"model":"scribe","prompt":"x","max_tokens":4000,"stream":true}"#;
const DEADLINE_MS: u64 = 10_000;

#[tokio::test]
async fn before() {
    for repeatable in [false, true] {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let target = platform.start_target("t1", "dispatch-runners").await;
        let entry = platform.start_ready_entry("e1").await;
        target.node.signal(Signal::SIGKILL);
        target.node.wait_exit().await;
        let outcome = outcome_of(call(&entry, repeatable, "a", DEADLINE_MS)).await;
        assert!(matches!(outcome, CallerOutcome::Verdict(_)), "{outcome:?}");
        assert_eq!(target.engine.counts().of("a").started, 0);
        entry.wait_targets(0).await;
        let outcome = outcome_of(call(&entry, repeatable, "b", DEADLINE_MS)).await;
        assert_eq!(
            outcome,
            CallerOutcome::Verdict("not-run".to_owned()),
            "no target is left"
        );
        assert_eq!(target.engine.counts().of("b").started, 0);
    }
}

#[tokio::test]
async fn during() {
    for repeatable in [false, true] {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let target = platform.start_target("t1", "dispatch-runners").await;
        let entry = platform.start_ready_entry("e1").await;
        target.engine.set_fault(Fault::Hang);
        let killed = async {
            target
                .engine
                .counts()
                .wait_for("a", |one| one.started == 1)
                .await;
            target.node.signal(Signal::SIGKILL);
        };
        let (outcome, ()) = tokio::join!(
            outcome_of(call(&entry, repeatable, "a", DEADLINE_MS)),
            killed
        );
        assert_eq!(outcome, CallerOutcome::Verdict("may-have-run".to_owned()));
        check_verdict(
            "killed while it ran",
            &outcome,
            repeatable,
            "a",
            &[&target.engine],
        );
    }
}

#[tokio::test]
async fn between_first_byte_and_end() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let response = entry.complete("a", STREAM).await.expect("a head");
    target.node.signal(Signal::SIGKILL);
    assert_eq!(read_outcome(response).await, CallerOutcome::Disconnected);
    assert_eq!(target.engine.counts().of("a").started, 1);
}

#[tokio::test]
async fn after() {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let target = platform.start_target("t1", "dispatch-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let outcome = outcome_of(call(&entry, false, "a", DEADLINE_MS)).await;
    target.node.signal(Signal::SIGKILL);
    target.node.wait_exit().await;
    assert_eq!(outcome, CallerOutcome::Success);
    assert_eq!(target.engine.counts().of("a").finished, 1);
}

#[tokio::test]
async fn another_target_takes_over_what_may_repeat() {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let a = platform.start_target("t1", "dispatch-runners").await;
    let b = platform.start_target("t2", "dispatch-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    a.engine.set_fault(Fault::Hang);
    b.engine.set_fault(Fault::Hang);
    let killed = async {
        tokio::select! {
            () = a.engine.counts().wait_for("a", |one| one.started == 1) => {
                b.engine.set_fault(Fault::None);
                a.node.signal(Signal::SIGKILL);
            }
            () = b.engine.counts().wait_for("a", |one| one.started == 1) => {
                a.engine.set_fault(Fault::None);
                b.node.signal(Signal::SIGKILL);
            }
        }
    };
    let (outcome, ()) = tokio::join!(outcome_of(call(&entry, true, "a", DEADLINE_MS)), killed);
    assert_eq!(outcome, CallerOutcome::Success, "{}", entry.node.log());
    check_verdict(
        "killed while it ran",
        &outcome,
        true,
        "a",
        &[&a.engine, &b.engine],
    );
}
