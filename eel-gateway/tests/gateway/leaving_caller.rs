//! Callers that disconnect before the response.
//!
//! Guards against a target that keeps working, and a slot that stays taken, after the caller has disconnected.

use eel_platform::standin::Behaviour;

use crate::fixture::{fleet, wait_until};

#[tokio::test]
async fn target_stops_its_work() {
    for path in ["/idempotent/1", "/once/1", "/resumable-stream/1"] {
        let fleet = fleet(1, 1).await;
        fleet.targets[0].set_default_behaviour(Behaviour::Silent);
        let sent = tokio::spawn(fleet.post(0, path, "r1").send());
        wait_until("the target works", async || {
            fleet.targets[0].open_requests() == 1
        })
        .await;
        sent.abort();
        wait_until("the target stops", async || {
            fleet.targets[0].open_requests() == 0
        })
        .await;
    }
}

#[tokio::test]
async fn queued_request_is_removed() {
    let fleet = fleet(1, 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Silent);
    let busy: Vec<_> = (0..2)
        .map(|it| tokio::spawn(fleet.post(0, "/once/1", &format!("busy-{it}")).send()))
        .collect();
    wait_until("both slots are taken", async || {
        fleet.targets[0].open_requests() == 2
    })
    .await;
    let waiting = tokio::spawn(fleet.post(0, "/once/1", "waiting").send());
    waiting.abort();
    let _ = waiting.await;
    busy.iter().for_each(tokio::task::JoinHandle::abort);
    wait_until("the slots are free", async || {
        fleet.targets[0].open_requests() == 0
    })
    .await;
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    let response = fleet
        .post(0, "/once/1", "next")
        .send()
        .await
        .expect("a response");
    assert_eq!(response.status().as_u16(), 200);
    assert_eq!(fleet.runs("waiting"), 0);
}
