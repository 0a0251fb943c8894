//! Sound targets that are silent for a second and go on.
//!
//! Guards against an attempt that is ended because its target is silent before another target has responded, so that the
//! caller gets a truncated response or an error; and against a silent target that holds up a request which another target
//! could run.

use std::time::Duration;

use eel_platform::standin::{Behaviour, StandInTarget, routes};

use crate::fixture::{Fleet, events, fleet, wait_until};

use Behaviour::{Full, PausesAfter, PausesBeforeHead, Responds, StallsAfter};

/// Longer than any time after which a node looks for another target.
const PAUSE: Duration = Duration::from_millis(1_200);
const ALL_EVENTS: [u64; 5] = [1, 2, 3, 4, 5];

/// What the targets do that the request has not been sent to.
#[derive(Clone, Copy, Debug)]
enum Others {
    Absent,
    Pause,
    AreFull,
}

async fn paused_fleet(others: Others, behaviour: Behaviour) -> Fleet {
    let targets = if matches!(others, Others::Absent) {
        1
    } else {
        3
    };
    let fleet = fleet(1, targets).await;
    for target in &fleet.targets {
        target.set_default_behaviour(match others {
            Others::Absent | Others::Pause => behaviour,
            Others::AreFull => Full,
        });
    }
    if matches!(others, Others::AreFull) {
        fleet.targets[0].share_script(&fleet.targets[1], &[behaviour]);
    }
    fleet
}

async fn stream(fleet: &Fleet, path: &str, id: &str) -> (Vec<u64>, bool) {
    let sent = fleet.post(0, path, id).send().await;
    events(sent.expect("a response")).await
}

#[tokio::test]
async fn stream_of_a_paused_target_is_not_cut() {
    for others in [Others::Absent, Others::Pause, Others::AreFull] {
        for path in ["/resumable-stream/1", "/once-stream/1"] {
            for last in [0, 2] {
                let fleet = paused_fleet(others, PausesAfter(last, PAUSE)).await;
                let received = stream(&fleet, path, "r1").await;
                let expected = (ALL_EVENTS.to_vec(), true);
                assert_eq!(received, expected, "{path}, {others:?}, after event {last}");
                assert!(fleet.runs("r1") <= 2, "{path}, {others:?}");
            }
        }
    }
}

#[tokio::test]
async fn response_of_a_paused_target_is_not_replaced_by_an_error() {
    let paths = [
        "/idempotent/1",
        "/once/1",
        "/resumable-stream/1",
        "/once-stream/1",
    ];
    for others in [Others::Absent, Others::Pause, Others::AreFull] {
        for path in paths {
            let fleet = paused_fleet(others, PausesBeforeHead(PAUSE)).await;
            let sent = fleet.post(0, path, "r1").send().await;
            let response = sent.expect("a response");
            assert_eq!(response.status(), 200, "{path}, {others:?}");
            let body = response.bytes().await;
            assert!(body.is_ok(), "{path}, {others:?}: {body:?}");
        }
    }
}

#[tokio::test]
async fn all_streams_of_a_paused_fleet_are_complete() {
    let fleet = paused_fleet(Others::Pause, PausesAfter(2, PAUSE)).await;
    let ids: Vec<String> = (0..6).map(|number| format!("r{number}")).collect();
    let streams = ids
        .iter()
        .map(|id| stream(&fleet, "/resumable-stream/1", id));
    for received in futures_util::future::join_all(streams).await {
        assert_eq!(received, (ALL_EVENTS.to_vec(), true));
    }
}

#[tokio::test]
async fn stalled_stream_moves_to_another_target() {
    let fleet = fleet(1, 2).await;
    fleet.targets[0].share_script(&fleet.targets[1], &[StallsAfter(2), Responds]);
    let received = stream(&fleet, "/resumable-stream/1", "r1").await;
    assert_eq!(received, (ALL_EVENTS.to_vec(), true));
    let resumed: Vec<u64> = fleet
        .targets
        .iter()
        .flat_map(StandInTarget::resumed_after)
        .collect();
    assert_eq!(resumed, [2]);
    wait_until("the stalled attempt ends", async || {
        fleet.targets.iter().all(|it| it.open_requests() == 0)
    })
    .await;
}

#[tokio::test]
async fn two_silent_targets_do_not_run_on_together() {
    let fleet = fleet(1, 2).await;
    let long = Duration::from_secs(2);
    fleet.targets[0].share_script(
        &fleet.targets[1],
        &[PausesAfter(2, long), PausesBeforeHead(long)],
    );
    let received = tokio::spawn(stream_of(fleet.post(0, "/resumable-stream/1", "r1")));
    wait_until("the second target has the request", async || {
        fleet.runs("r1") == 2
    })
    .await;
    wait_until("one of them is left", async || {
        fleet
            .targets
            .iter()
            .map(StandInTarget::open_requests)
            .sum::<u32>()
            == 1
    })
    .await;
    assert!(!received.is_finished(), "the other one continues");
    assert_eq!(
        received.await.expect("a stream"),
        (ALL_EVENTS.to_vec(), true)
    );
}

#[tokio::test]
async fn slow_successor_of_a_stalled_stream() {
    // The first target is gone and says nothing; the second one is sound and takes long to respond.
    let fleet = fleet(1, 2).await;
    let slow = PausesBeforeHead(Duration::from_millis(500));
    fleet.targets[0].share_script(&fleet.targets[1], &[StallsAfter(2), slow]);
    let received = stream(&fleet, "/resumable-stream/1", "r1").await;
    assert_eq!(received, (ALL_EVENTS.to_vec(), true));
}

#[tokio::test]
async fn newer_attempt_does_not_count_as_silent() {
    // The second target gets the request shortly before the first one responds.
    let fleet = fleet(1, 2).await;
    let script = [
        PausesBeforeHead(Duration::from_millis(550)),
        PausesBeforeHead(PAUSE),
    ];
    fleet.targets[0].share_script(&fleet.targets[1], &script);
    let sent = fleet.post(0, "/idempotent/1", "r1").send().await;
    assert_eq!(sent.expect("a response").status(), 200);
    assert_eq!(fleet.runs("r1"), 2);
    let busy = PausesBeforeHead(Duration::from_millis(100));
    fleet
        .targets
        .iter()
        .for_each(|it| it.set_default_behaviour(busy));
    let ids = ["r2", "r3", "r4", "r5"];
    let sent = ids.map(|id| fleet.post(0, "/once/1", id).send());
    for response in futures_util::future::join_all(sent).await {
        assert_eq!(response.expect("a response").status(), 200);
    }
}

async fn stream_of(request: reqwest::RequestBuilder) -> (Vec<u64>, bool) {
    events(request.send().await.expect("a response")).await
}

#[tokio::test]
async fn paused_beside_a_change_of_routes() {
    let fleet = paused_fleet(Others::Pause, PausesAfter(2, PAUSE)).await;
    let sent = fleet.post(0, "/resumable-stream/1", "r1").send().await;
    let response = sent.expect("a response");
    for version in 2..5 {
        fleet.store.put("op/config", &routes(version).to_string());
    }
    assert_eq!(events(response).await, (ALL_EVENTS.to_vec(), true));
}

#[tokio::test]
async fn paused_beside_a_drain() {
    let mut fleet = paused_fleet(Others::Pause, PausesAfter(2, PAUSE)).await;
    let sent = fleet.post(0, "/resumable-stream/1", "r1").send().await;
    let response = sent.expect("a response");
    fleet.nodes[0].shutdown.on_signal();
    assert_eq!(events(response).await, (ALL_EVENTS.to_vec(), true));
    let node = fleet.nodes.remove(0);
    node.task.await.expect("the node ends");
}

#[tokio::test]
async fn paused_items_complete_once() {
    let fleet = paused_fleet(Others::Pause, PausesAfter(2, PAUSE * 2)).await;
    assert_eq!(fleet.submit(0, "j1", &["stream/1", "stream/2"]).await, 202);
    for result in fleet.results(0, "j1", 2).await {
        assert_eq!(result["state"], "completed");
        assert_eq!(result["text"], "word1\nword2\nword3\nword4\nword5");
    }
}
