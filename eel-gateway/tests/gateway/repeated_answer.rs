//! A faulty target that writes each response once more, late, on the connection that had it.
//!
//! Guards against a response that is taken for that of a later run because an item keeps its id over all of its runs.

use std::time::Duration;

use eel_platform::standin::{CopyTime, Statuses, StutteringTarget};
use futures_util::future::join_all;

use crate::fixture::fleet;

use CopyTime::{After, AtNextRequest};

/// The number of items of a job; the target has two slots.
const ITEMS: usize = 6;
/// The number of responses of 500 after which the route gives an item up.
const MAX_ATTEMPTS: usize = 2;
const SCRIPTS: [Statuses; 8] = [
    &[],
    &[500],
    &[504, 500],
    &[502, 500],
    &[503, 500],
    &[500, 504],
    &[500, 404],
    &[500, 500],
];
const PAUSES_MS: [u64; 5] = [0, 3, 10, 30, 100];

/// Runs a job; returns the items that are given up though the target failed less often, or completed with another text.
async fn wrong_results(statuses: Statuses, copy_time: CopyTime) -> Vec<String> {
    let mut fleet = fleet(0, 0).await;
    let target = StutteringTarget::start(&fleet.store, "i-0", statuses, copy_time).await;
    let target = target.expect("a target");
    fleet.add_node("node-0", true).await;
    let paths: Vec<String> = (0..ITEMS).map(|item| format!("stream/{item}")).collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    assert_eq!(fleet.submit(0, "j1", &paths).await, 202);
    let results = fleet.results(0, "j1", ITEMS).await;
    assert!(target.copies() > 0, "{statuses:?}, {copy_time:?}");
    let wrong = results.iter().filter_map(|result| {
        let written = target.statuses(result["id"].as_str()?);
        let failures = written.iter().filter(|status| **status == 500).count();
        let is_right = match result["state"].as_str() {
            Some("errored") => failures >= MAX_ATTEMPTS && result["text"] == "",
            Some("completed") => result["text"] == "word1\nword2\nword3\nword4\nword5",
            _ => false,
        };
        let case = || format!("{statuses:?}, {copy_time:?}: {result} after {written:?}");
        (!is_right).then(case)
    });
    wrong.collect()
}

async fn assert_for_all(copy_time: fn(Duration) -> CopyTime) {
    let cases = SCRIPTS.iter().flat_map(|statuses| {
        let times = PAUSES_MS.map(|pause_ms| copy_time(Duration::from_millis(pause_ms)));
        times.map(|time| wrong_results(statuses, time))
    });
    let wrong: Vec<String> = join_all(cases).await.into_iter().flatten().collect();
    assert!(wrong.is_empty(), "{}\n{}", wrong.len(), wrong.join("\n"));
}

#[tokio::test]
async fn copy_before_the_response() {
    assert_for_all(AtNextRequest).await;
}

#[tokio::test]
async fn copy_after_a_pause() {
    assert_for_all(After).await;
}
