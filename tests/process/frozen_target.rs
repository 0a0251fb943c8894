//! A target node that is stopped with a request in its socket buffer and resumes later.
//!
//! Guards against an execution that starts after the caller got its verdict or after the deadline.

use nix::sys::signal::Signal;

use crate::{
    fleet::{Entry, Platform, Service, Target, eventually},
    outcome::{CallerOutcome, SHORT_DEADLINE_MS, call, check_verdict, outcome_of},
};

/// Sends requests until one succeeds; the target node has then processed what was in its socket buffers.
async fn wait_working(entry: &Entry) {
    eventually("the target works again", async || {
        outcome_of(call(entry, true, "probe", 5_000)).await == CallerOutcome::Success
    })
    .await;
}

async fn start() -> (Platform, Target, Entry) {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let target = platform.start_target("t1", "dispatch-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    wait_working(&entry).await;
    (platform, target, entry)
}

#[tokio::test]
async fn past_the_deadline() {
    for repeatable in [false, true] {
        let (_platform, target, entry) = start().await;
        target.node.freeze().await;
        let outcome = outcome_of(call(&entry, repeatable, "a", SHORT_DEADLINE_MS)).await;
        assert!(matches!(outcome, CallerOutcome::Verdict(_)), "{outcome:?}");
        target.node.signal(Signal::SIGCONT);
        wait_working(&entry).await;
        let started = target.engine.counts().of("a").started;
        let log = target.node.log();
        assert_eq!(
            started, 0,
            "the request started after its deadline, {outcome:?}:\n{log}"
        );
    }
}

#[tokio::test]
async fn until_the_link_is_silent() {
    for repeatable in [false, true] {
        let (_platform, target, entry) = start().await;
        target.node.freeze().await;
        let resumed = async {
            entry.node.value_after("The link to t1 ended: ").await;
            target.node.signal(Signal::SIGCONT);
        };
        let (outcome, ()) =
            tokio::join!(outcome_of(call(&entry, repeatable, "a", 20_000)), resumed);
        wait_working(&entry).await;
        check_verdict(
            "resumed after silence",
            &outcome,
            repeatable,
            "a",
            &[&target.engine],
        );
    }
}

#[tokio::test]
async fn until_the_caller_has_heard() {
    let (_platform, target, entry) = start().await;
    target.node.freeze().await;
    let outcome = outcome_of(call(&entry, false, "a", 20_000)).await;
    target.node.signal(Signal::SIGCONT);
    wait_working(&entry).await;
    check_verdict(
        "resumed after the response",
        &outcome,
        false,
        "a",
        &[&target.engine],
    );
    assert_ne!(outcome, CallerOutcome::Success);
}
