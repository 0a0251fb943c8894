//! Requests that are not repeatable, sent again with the same idempotency key.
//!
//! Guards against a second execution when the response was lost or the first entry node was killed.

use eel_standin::{engine::Fault, kv::Faults};
use nix::sys::signal::Signal;
use reqwest::Response;

use crate::fleet::{Entry, Platform, Service, eventually};

async fn bill(entry: &Entry, key: &str, body: &str) -> Response {
    let request = entry.post("/services/dispatch/billing", key, body.to_owned());
    let request = request.header("idempotency-key", key);
    request.send().await.expect("a response")
}

fn verdict(response: &Response) -> &str {
    response.headers()["x-eel-verdict"].to_str().expect("text")
}

#[tokio::test]
async fn replayed_elsewhere() {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let target = platform.start_target("t1", "dispatch-runners").await;
    let first = platform.start_ready_entry("e1").await;
    let second = platform.start_ready_entry("e2").await;
    let response = bill(&first, "k1", "one tow").await;
    assert_eq!(response.status(), 200);
    let body = response.text().await.expect("a body");
    eventually("the response is stored", async || {
        let again = bill(&second, "k1", "one tow").await;
        again.status() == 200 && again.text().await.expect("a body") == body
    })
    .await;
    let other = bill(&second, "k1", "two tows").await;
    assert_eq!(other.status(), 409);
    assert_eq!(verdict(&other), "not-run");
    assert_eq!(target.engine.counts().of("k1").started, 1);
}

#[tokio::test]
async fn unknown_outcome_stays_unknown() {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let target = platform.start_target("t1", "dispatch-runners").await;
    let first = platform.start_ready_entry("e1").await;
    let second = platform.start_ready_entry("e2").await;
    target.engine.set_fault(Fault::CloseAfterExecution);
    let response = bill(&first, "k2", "one tow").await;
    assert_eq!(verdict(&response), "may-have-run");
    target.engine.set_fault(Fault::None);
    for entry in [&first, &second] {
        let again = bill(entry, "k2", "one tow").await;
        assert_eq!(again.status(), 409);
        assert_eq!(verdict(&again), "may-have-run");
    }
    assert_eq!(target.engine.counts().of("k2").started, 1);
}

#[tokio::test]
async fn entry_killed_while_running() {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let target = platform.start_target("t1", "dispatch-runners").await;
    let first = platform.start_ready_entry("e1").await;
    let second = platform.start_ready_entry("e2").await;
    target.engine.set_fault(Fault::Hang);
    let request = first.post("/services/dispatch/billing", "k3", "one tow");
    let request = request.header("idempotency-key", "k3").send();
    let sent = tokio::spawn(request);
    let counts = target.engine.counts();
    counts.wait_for("k3", |one| one.started == 1).await;
    first.node.signal(Signal::SIGKILL);
    assert!(sent.await.expect("an ended task").is_err());
    target.engine.set_fault(Fault::None);
    let again = bill(&second, "k3", "one tow").await;
    assert_eq!(again.status(), 409);
    assert_eq!(verdict(&again), "may-have-run");
    assert_eq!(counts.of("k3").started, 1);
}

#[tokio::test]
async fn not_run_may_be_resent() {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let target = platform.start_target("t1", "dispatch-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let unavailable = Faults {
        unavailable: true,
        ..Faults::default()
    };
    platform.store.set_faults(unavailable);
    let refused = bill(&entry, "k4", "one tow").await;
    assert_eq!(refused.status(), 503);
    assert_eq!(verdict(&refused), "not-run");
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(target.engine.counts().of("k4").started, 0);
    platform.store.set_faults(Faults::default());
    let response = bill(&entry, "k4", "one tow").await;
    assert_eq!(response.status(), 200);
    platform.store.set_faults(Faults {
        lost_responses: 1,
        ..Faults::default()
    });
    let response = bill(&entry, "k5", "one tow").await;
    assert_eq!(
        response.status(),
        200,
        "a claim whose response was lost is resolved"
    );
    assert_eq!(target.engine.counts().of("k5").started, 1);
}
