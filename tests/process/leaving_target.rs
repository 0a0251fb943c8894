//! A target that is leaving gets no new requests, and its running requests complete.
//!
//! Guards against failed requests and truncated streams, which happen when entry nodes go on choosing a target that is
//! listed as leaving or got SIGTERM, or when the target ends before its requests do.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use nix::sys::signal::Signal;

use crate::{
    fleet::{Entry, Platform, Service, Target, eventually},
    outcome::{CallerOutcome, call, outcome_of},
};

const DEADLINE_MS: u64 = 20_000;

const STREAM: &str = r#"{"model":"scribe","prompt":"x","max_tokens":400,"stream":true}"#;
const SHORT: &str = r#"{"model":"scribe","prompt":"x","max_tokens":1}"#;

/// Sends short requests until 20 in a row were served without `leaving`.
async fn wait_unused(entry: &Entry, leaving: &Target) {
    const CONSECUTIVE_REQUESTS: u32 = 20;
    eventually("the leaving target gets no new requests", async || {
        let before = leaving.engine.counts().total().started;
        for _ in 0..CONSECUTIVE_REQUESTS {
            let response = entry.complete("short", SHORT).await.expect("a response");
            let status = response.status();
            let body = response.text().await.expect("a body");
            assert_eq!(status, 200, "{body}\n{}", entry.node.log());
        }
        leaving.engine.counts().total().started == before
    })
    .await;
}

/// Starts a long stream; returns its response and the targets, the one that runs the stream first.
async fn start_stream(entry: &Entry, targets: [Target; 2]) -> (reqwest::Response, [Target; 2]) {
    let response = entry.complete("long", STREAM).await.expect("a response");
    let [a, b] = targets;
    if a.engine.counts().of("long").started == 1 {
        (response, [a, b])
    } else {
        (response, [b, a])
    }
}

#[tokio::test]
async fn told_by_list() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let a = platform.start_target("t1", "scribe-runners").await;
    let b = platform.start_target("t2", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let (response, [leaving, _other]) = start_stream(&entry, [a, b]).await;
    platform.list_leaving(&leaving);
    wait_unused(&entry, &leaving).await;
    let body = response.text().await.expect("a complete body");
    assert!(body.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn told_by_itself() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let a = platform.start_target("t1", "scribe-runners").await;
    let b = platform.start_target("t2", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let (response, [leaving, _other]) = start_stream(&entry, [a, b]).await;
    leaving.node.signal(Signal::SIGTERM);
    wait_unused(&entry, &leaving).await;
    let body = response.text().await.expect("a complete body");
    assert!(body.ends_with("data: [DONE]\n\n"));
    assert!(leaving.node.wait_exit().await.success());
}

/// Requests are sent without a pause while targets leave one after the other.
#[tokio::test]
async fn requests_on_the_way() {
    const ROUNDS: usize = 10;
    const CALLERS: usize = 8;
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let mut leaving = platform.start_target("t0", "dispatch-runners").await;
    let entry = Arc::new(platform.start_ready_entry("e1").await);
    for round in 1..=ROUNDS {
        let next = platform
            .start_target(&format!("t{round}"), "dispatch-runners")
            .await;
        entry.wait_targets(2).await;
        let stop = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (entry, stop) = (entry.clone(), stop.clone());
                tokio::spawn(async move {
                    let mut outcomes = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let tag = format!("{round}-{caller}-{}", outcomes.len());
                        let request = call(&entry, false, &tag, DEADLINE_MS);
                        outcomes.push(outcome_of(request).await);
                    }
                    outcomes
                })
            })
            .collect();
        eventually("both targets are busy", async || {
            let busy = |target: &Target| target.engine.counts().total().finished > 0;
            busy(&leaving) && busy(&next)
        })
        .await;
        leaving.node.signal(Signal::SIGTERM);
        assert!(leaving.node.wait_exit().await.success());
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            for outcome in caller.await.expect("outcomes") {
                assert_eq!(
                    outcome,
                    CallerOutcome::Success,
                    "round {round}:\n{}",
                    entry.node.log()
                );
            }
        }
        platform.remove(&leaving);
        entry.wait_targets(1).await;
        leaving = next;
    }
}
