//! A target that writes an earlier answer once more, late, where the next one is expected.
//!
//! Guards against a caller that gets the answer to another request, and against a failure that counts twice for an item of a
//! job, as answers of a target do not name their request.

use std::{sync::atomic::Ordering, time::Duration};

use futures_util::future::join_all;
use serde_json::Value;

use crate::fleet::{Answer, Copied, Entry, Platform, RepeatingTarget, Service};

const REQUESTS: usize = 8;
const PAUSES_MS: [u64; 4] = [0, 5, 30, 100];

/// Sends requests one after the other, and returns those that got an answer other than their own.
async fn crossed(entry: &Entry, answer: Answer, lane: usize) -> Vec<String> {
    let mut crossed = Vec::new();
    for number in 0..REQUESTS {
        let tag = format!("tag-{lane}-{number}");
        let path = ["alerts", "billing"][number % 2];
        let request = entry.post(&format!("/services/dispatch/{path}"), &tag, "x");
        let response = request.send().await.expect("a response");
        let status = response.status();
        let body = response.text().await.unwrap_or_default();
        if status != answer.status() || !body.contains(&tag) {
            crossed.push(format!("{tag} got {status} {body:?}"));
        }
    }
    crossed
}

async fn assert_own_answers(copied: impl Fn(Duration) -> Copied, lanes: usize) {
    let mut all = Vec::new();
    for answer in [Answer::Success, Answer::Failure, Answer::Events] {
        for pause_ms in PAUSES_MS {
            let mut platform = Platform::start(&[Service::Dispatch]).await;
            let copied = copied(Duration::from_millis(pause_ms));
            let target = RepeatingTarget::start(answer, copied).await;
            let _node = platform
                .start_target_at("t1", "dispatch-runners", &target.url)
                .await;
            let entry = platform.start_ready_entry("e1").await;
            let found = join_all((0..lanes).map(|lane| crossed(&entry, answer, lane))).await;
            let found = found.concat().into_iter();
            all.extend(found.map(|it| format!("{answer:?}, {copied:?}: {it}")));
        }
    }
    let requests = REQUESTS * lanes * 3 * PAUSES_MS.len();
    let first = all.first();
    assert!(
        all.is_empty(),
        "{} of {requests}, first {first:?}",
        all.len()
    );
}

#[tokio::test]
async fn copy_before_the_answer() {
    assert_own_answers(Copied::IntoNext, 1).await;
}

#[tokio::test]
async fn copies_among_many_requests() {
    assert_own_answers(Copied::IntoNext, 4).await;
}

#[tokio::test]
async fn copy_after_a_pause() {
    assert_own_answers(Copied::AfterAnswer, 4).await;
}

/// Runs an item at a target that fails it so often first. Returns the status in its result and how often the target got it.
async fn run_item(failures: u32, pause_ms: u64) -> (Value, u32) {
    const ITEM: &str = r#"{"custom_id":"i0","method":"POST","url":"/v1/completions","body":{"model":"scribe","prompt":"x"}}"#;
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let copied = Copied::IntoNext(Duration::from_millis(pause_ms));
    let target = RepeatingTarget::start(Answer::SuccessAfter(failures), copied).await;
    let _node = platform
        .start_target_at("t1", "scribe-runners", &target.url)
        .await;
    let entry = platform.start_ready_entry("e1").await;
    let submitted = entry
        .post("/v1/batches", "", ITEM)
        .header("idempotency-key", "k")
        .header("x-eel-service", "scribe")
        .header("x-eel-deadline-ms", "600000")
        .send()
        .await
        .expect("a response");
    let status: Value = submitted.json().await.expect("a JSON body");
    let job = status["id"].as_str().expect("a job");
    let path = format!("/v1/batches/{job}/results?follow=true");
    let text = entry.get(&path).await.text().await.expect("the results");
    let line: Value = serde_json::from_str(text.trim()).expect("a line");
    let status = line["response"]["status_code"].clone();
    (status, target.requests.load(Ordering::Relaxed))
}

#[tokio::test]
async fn copies_among_runs_of_an_item() {
    let cases = (1..=3).flat_map(|failures| PAUSES_MS.map(|pause_ms| (failures, pause_ms)));
    let wrong = join_all(cases.map(async |(failures, pause_ms)| {
        let (status, requests) = run_item(failures, pause_ms).await;
        let is_right = status == 200 && requests == failures + 1;
        (!is_right)
            .then(|| format!("{failures} failures, {pause_ms} ms: {status}, {requests} runs"))
    }));
    let wrong: Vec<String> = wrong.await.into_iter().flatten().collect();
    assert!(wrong.is_empty(), "{} of 12: {wrong:?}", wrong.len());
}
