//! A node that gets SIGTERM under load completes every request, running or queued, before it ends.
//!
//! Guards against interrupted, rejected or repeated requests, which happen when an entry or target node ends, or drops
//! its queue, while requests are open.

use std::sync::{Arc, atomic::Ordering};

use nix::sys::signal::Signal;

use crate::{
    fleet::{Platform, RawTarget, Service, eventually},
    outcome::{CallerOutcome, SHORT_DEADLINE_MS, call, outcome_of},
};

const LONG: &str = r#"{"model":"scribe","prompt":"x","max_tokens":300,"stream":true}"#;
/// More than [`SLOTS`], so that some requests are queued.
const REQUESTS: usize = 12;
/// The slots in the record of the service.
const SLOTS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stopped {
    Entry,
    Target,
}

#[tokio::test]
async fn no_request_is_cut() {
    for stopped in [Stopped::Entry, Stopped::Target] {
        let mut platform = Platform::start(&[Service::Scribe]).await;
        let target = platform.start_target("t1", "scribe-runners").await;
        let entry = Arc::new(platform.start_ready_entry("e1").await);
        let requests: Vec<_> = (0..REQUESTS)
            .map(|index| {
                let entry = entry.clone();
                let tag = format!("r-{index}");
                tokio::spawn(
                    async move { outcome_of(entry.post("/v1/completions", &tag, LONG)).await },
                )
            })
            .collect();
        eventually(
            "all slots are taken and the other requests are queued",
            async || {
                let page = entry.metrics().await;
                target.engine.running() == SLOTS
                    && page.contains("eelgrassgap_entry_open_requests 12")
            },
        )
        .await;
        let node = match stopped {
            Stopped::Entry => &entry.node,
            Stopped::Target => &target.node,
        };
        node.signal(Signal::SIGTERM);
        for request in requests {
            let outcome = request.await.expect("a finished task");
            assert_eq!(
                outcome,
                CallerOutcome::Success,
                "{stopped:?}: {}",
                node.log()
            );
        }
        assert!(node.wait_exit().await.success(), "{stopped:?}");
        assert_eq!(target.engine.counts().total().finished, 12, "{stopped:?}");
        assert_eq!(target.engine.counts().repeated_tags(), 0, "{stopped:?}");
    }
}

/// A caller that does not read blocks its reply until the deadline; the stream is then reset.
#[tokio::test]
async fn after_a_blocked_reply() {
    const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\n";
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let raw = RawTarget::start(EVENTS, true).await;
    let (target, _) = platform
        .start_target_at("t1", "dispatch-runners", &raw.url)
        .await;
    let entry = platform.start_ready_entry("e1").await;
    let _unread = call(&entry, false, "a", SHORT_DEADLINE_MS).send().await;
    eventually("the target's connection is closed", async || {
        raw.closed.load(Ordering::Relaxed) > 0
    })
    .await;
    target.signal(Signal::SIGTERM);
    assert!(target.wait_exit().await.success());
    let log = target.log();
    assert!(log.contains("Drained."), "{log}");
}
