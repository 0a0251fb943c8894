//! Requests whose targets fail: the status that the caller gets, and how often the request ran.
//!
//! Guards against a request that is not repeatable running twice, and against a repeatable one not being retried.

use eel_platform::standin::Behaviour;

use crate::fixture::fleet;

use Behaviour::{Fails, FailsAtLength, Full, Responds, RespondsWithOtherId, Silent, Unsigned};

#[tokio::test]
async fn fault_table() {
    // The attempts of a request get the behaviours in order, whichever target they reach.
    let cases: [(&str, &str, [Behaviour; 2], u16, u32); 12] = [
        ("answered", "/once/1", [Responds, Responds], 200, 1),
        ("full, then free", "/once/1", [Full, Responds], 200, 1),
        (
            "once, another's response",
            "/once/1",
            [RespondsWithOtherId, Responds],
            502,
            1,
        ),
        ("once, unsigned", "/once/1", [Unsigned, Responds], 502, 1),
        ("once, failed", "/once/1", [Fails, Responds], 500, 1),
        ("once, silent", "/once/1", [Silent, Responds], 504, 1),
        (
            "repeatable, another's response",
            "/idempotent/1",
            [RespondsWithOtherId, Responds],
            200,
            2,
        ),
        (
            "repeatable, unsigned",
            "/idempotent/1",
            [Unsigned, Responds],
            200,
            2,
        ),
        (
            "repeatable, failed",
            "/idempotent/1",
            [Fails, Responds],
            200,
            2,
        ),
        (
            "repeatable, silent",
            "/idempotent/1",
            [Silent, Responds],
            200,
            2,
        ),
        (
            "repeatable, failed twice",
            "/idempotent/1",
            [Fails, Fails],
            500,
            2,
        ),
        (
            "repeatable, broken twice",
            "/idempotent/1",
            [Unsigned, Unsigned],
            502,
            2,
        ),
    ];
    for (name, path, script, status, runs) in cases {
        let fleet = fleet(1, 2).await;
        fleet.targets[0].share_script(&fleet.targets[1], &script);
        let sent = fleet
            .post(0, path, "r1")
            .header("x-eelgrassgap-deadline-ms", "2000");
        let response = sent.send().await.expect("a response");
        assert_eq!(response.status().as_u16(), status, "{name}");
        assert_eq!(fleet.runs("r1"), runs, "{name}: runs");
    }
}

#[tokio::test]
async fn full_everywhere() {
    let fleet = fleet(1, 2).await;
    for target in &fleet.targets {
        target.set_default_behaviour(Full);
    }
    let response = fleet
        .post(0, "/once/1", "r1")
        .send()
        .await
        .expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["x-eel-verdict"], "not-run");
    assert_eq!(fleet.runs("r1"), 0);
}

#[tokio::test]
async fn no_target_listens() {
    let mut fleet = fleet(1, 1).await;
    fleet.targets.clear();
    let response = fleet
        .post(0, "/once/1", "r1")
        .send()
        .await
        .expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["x-eel-verdict"], "not-run");
}

#[tokio::test]
async fn long_failure() {
    for path in ["/once/1", "/once-stream/1", "/resumable-stream/1"] {
        let fleet = fleet(1, 1).await;
        fleet.targets[0].set_default_behaviour(FailsAtLength);
        let sent = fleet.post(0, path, "r1").send().await;
        let response = sent.expect("a response");
        assert_eq!(response.status().as_u16(), 500, "{path}");
        let body = response.bytes().await.expect("a complete body");
        assert_eq!(body.len(), 300 * 1024, "{path}");
    }
}
