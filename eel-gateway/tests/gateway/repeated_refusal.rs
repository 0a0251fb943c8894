//! A faulty target that writes an earlier refusal once more on a kept connection, as the response to another request.
//!
//! Guards against a caller that is told "not run" for a request that the target runs, and against such a request that runs
//! at a second target, which happen when a refusal is taken as proof for a request that it does not name.

use std::time::Duration;

use eel_platform::standin::{RepeatedId, RepeatingTarget, Repetition};
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::fixture::{Fleet, fleet};

const PATHS: [&str; 3] = ["/once/1", "/once-stream/1", "/idempotent/1"];
const REQUESTS: usize = 6;
/// Longer than a target is left alone after a refusal.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Sends requests to the only node and returns their statuses by id.
async fn send(fleet: &Fleet, path: &str) -> Vec<(String, u16)> {
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("r{number}{}", path.replace('/', "-"));
        let sent = fleet.post(0, path, &id).send().await;
        let response = sent.expect("a response");
        statuses.push((id, response.status().as_u16()));
        drop(response.bytes().await);
        sleep(REQUEST_PAUSE).await;
    }
    statuses
}

/// Checks that no request that ran was answered as not run, and that none ran twice that may not.
async fn assert_promises_hold(repetition: Repetition) {
    let mut fleet = fleet(0, 0).await;
    let target = RepeatingTarget::start(&fleet.store, repetition).await;
    let target = target.expect("a target");
    fleet.add_node("node-0", true).await;
    for path in PATHS {
        let statuses = send(&fleet, path).await;
        let runs = target.runs();
        for (id, status) in &statuses {
            let count = runs.get(id).copied().unwrap_or(0);
            let is_true = count == 0 || !PROMISES.contains(status);
            assert!(is_true, "{repetition:?}, {id}: {status} after {count} runs");
            let may_repeat = path.starts_with("/idempotent");
            assert!(
                may_repeat || count <= 1,
                "{repetition:?}, {id}: {count} runs"
            );
        }
    }
    assert!(!target.runs().is_empty(), "{repetition:?}: none ran");
}

const IDS: [RepeatedId; 4] = [
    RepeatedId::Earlier,
    RepeatedId::InCapitals,
    RepeatedId::Missing,
    RepeatedId::Both,
];

/// Runs all cases at once, each one with a fleet of its own.
async fn assert_for_all(responds: bool) {
    let statuses = [503, 429, 421, 400].into_iter();
    let cases = statuses.flat_map(|status| {
        IDS.map(|id| Repetition {
            status,
            id,
            responds,
        })
    });
    join_all(cases.map(assert_promises_hold)).await;
}

#[tokio::test]
async fn refusal_of_an_earlier_request() {
    assert_for_all(false).await;
}

#[tokio::test]
async fn refusal_before_the_response() {
    assert_for_all(true).await;
}

#[tokio::test]
async fn refused_item_is_owed() {
    let mut fleet = fleet(0, 1).await;
    let repetition = Repetition {
        status: 503,
        id: RepeatedId::Missing,
        responds: false,
    };
    let target = RepeatingTarget::start(&fleet.store, repetition).await;
    let _target = target.expect("a target");
    fleet.add_node("node-0", true).await;
    let paths = ["stream/1", "stream/2", "stream/3", "stream/4"];
    assert_eq!(fleet.submit(0, "j1", &paths).await, 202);
    for result in fleet.results(0, "j1", paths.len()).await {
        assert_eq!(result["state"], "completed", "{result}");
        assert_eq!(result["text"], "word1\nword2\nword3\nword4\nword5");
    }
}
