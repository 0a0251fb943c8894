//! Entry and target nodes that get SIGHUP serve on.
//!
//! Guards against a node that ends without a drain, which is the default action: the kernel also sends SIGHUP to a stopped
//! process whose process group has lost its parent.

use nix::sys::signal::Signal;

use crate::{
    fleet::{Platform, Service},
    outcome::{CallerOutcome, outcome_of},
};

const SHORT: &str = r#"{"model":"scribe","prompt":"x","max_tokens":3}"#;

#[tokio::test]
async fn nodes_serve_on() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    for node in [&entry.node, &target.node] {
        node.freeze().await;
        node.signal(Signal::SIGHUP);
        node.signal(Signal::SIGCONT);
        node.value_after("SIGHUP is").await;
    }
    let outcome = outcome_of(entry.post("/v1/completions", "r-1", SHORT)).await;
    assert_eq!(outcome, CallerOutcome::Success);
}
