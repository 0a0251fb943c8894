//! A target node that is paused for longer than a link may be silent, and then continues.
//!
//! Guards against ending the answer of a sound target because it sent nothing for a while: the caller gets a cut
//! stream or an error although the answer is complete at the target.

use std::time::Duration;

use eel_standin::engine::Fault;
use eel_store::{EtcdJson, EtcdOptions, KeyValue as _, Op, Txn};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::{
    fleet::{Entry, Platform, Service, Target, eventually},
    outcome::{CallerOutcome, outcome_of, read_outcome},
};

/// Longer than the silence after which a link is replaced, shorter than the idle timeout of its connection.
const PAUSE: Duration = Duration::from_millis(2_500);
/// A completion that takes longer than the pause.
const LONG: usize = 4_000;
/// A completion that ends while the target node is paused.
const SHORT: usize = 500;

#[derive(Clone, Copy, Debug)]
enum Answer {
    /// The pause falls between the start of the request and the head of its response.
    NoHead { tokens: usize },
    /// The pause falls after some events of a stream.
    Stream { tokens: usize },
}

/// What else happens during the pause.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Beside {
    Nothing,
    NewConfiguration,
    EntryLeaves,
}

async fn start() -> (Platform, Target, Entry) {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    (platform, target, entry)
}

async fn pause(platform: &Platform, target: &Target, entry: &Entry, beside: Beside) {
    target.node.freeze().await;
    match beside {
        Beside::Nothing => {}
        Beside::NewConfiguration => declare_model(platform).await,
        Beside::EntryLeaves => entry.node.signal(Signal::SIGTERM),
    }
    tokio::time::sleep(PAUSE).await;
    target.node.signal(Signal::SIGCONT);
}

async fn declare_model(platform: &Platform) {
    let store = EtcdJson::new(&EtcdOptions::new(platform.store.url())).expect("a client");
    let record = json!({
        "schema": 1, "kind": "model", "name": "radio-scribe",
        "spec": { "version": "v2", "weights": "radio-scribe/v2" },
    });
    let put = Op::put("/eelgrassgap/config/model/radio-scribe", record.to_string());
    let txn = Txn {
        success: vec![put],
        ..Txn::default()
    };
    store.commit(&txn).await.expect("a written record");
}

async fn outcome_over_a_pause(
    answer: Answer,
    repeatable: bool,
    beside: Beside,
) -> (CallerOutcome, String) {
    let (platform, target, entry) = start().await;
    let (tokens, stream) = match answer {
        Answer::NoHead { tokens } => (tokens, false),
        Answer::Stream { tokens } => (tokens, true),
    };
    let body = json!({ "model": "scribe", "prompt": "x", "max_tokens": tokens, "stream": stream });
    let request = entry
        .post("/v1/completions", "a", body.to_string())
        .header("x-eel-repeatable", repeatable.to_string());
    let outcome = match answer {
        Answer::NoHead { .. } => {
            let paused = async {
                let counts = target.engine.counts();
                counts.wait_for("a", |one| one.started == 1).await;
                pause(&platform, &target, &entry, beside).await;
            };
            tokio::join!(outcome_of(request), paused).0
        }
        Answer::Stream { .. } => {
            let response = request.send().await.expect("a response");
            let paused = pause(&platform, &target, &entry, beside);
            tokio::join!(read_outcome(response), paused).0
        }
    };
    let counts = target.engine.counts().of("a");
    assert_eq!(counts.started, 1, "{answer:?}: {counts:?}");
    (outcome, entry.node.log())
}

async fn check(answer: Answer) {
    let mut failed = Vec::new();
    for beside in [
        Beside::Nothing,
        Beside::NewConfiguration,
        Beside::EntryLeaves,
    ] {
        for repeatable in [false, true] {
            let (outcome, log) = outcome_over_a_pause(answer, repeatable, beside).await;
            if outcome != CallerOutcome::Success {
                failed.push(format!(
                    "{beside:?}, repeatable: {repeatable}: {outcome:?}\n{log}"
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{answer:?}:\n{}", failed.join("\n\n"));
}

#[tokio::test]
async fn before_the_head() {
    check(Answer::NoHead { tokens: LONG }).await;
}

#[tokio::test]
async fn while_the_answer_ends() {
    check(Answer::NoHead { tokens: SHORT }).await;
}

#[tokio::test]
async fn within_a_stream() {
    check(Answer::Stream { tokens: LONG }).await;
}

#[tokio::test]
async fn while_a_stream_ends() {
    check(Answer::Stream { tokens: SHORT }).await;
}

#[tokio::test]
async fn never_resumed() {
    let (_platform, target, entry) = start().await;
    let body = json!({ "model": "scribe", "prompt": "x", "max_tokens": LONG, "stream": true });
    let request = entry.post("/v1/completions", "a", body.to_string());
    let response = request.send().await.expect("a response");
    target.node.freeze().await;
    assert_eq!(read_outcome(response).await, CallerOutcome::Disconnected);
}

#[tokio::test]
async fn batch_item() {
    for beside in [Beside::Nothing, Beside::NewConfiguration] {
        for repeatable in [false, true] {
            let case = format!("{beside:?}, repeatable: {repeatable}");
            let (platform, target, entry) = start().await;
            let body = json!({ "model": "scribe", "prompt": "x", "max_tokens": LONG });
            let item = json!({
                "custom_id": "i0", "method": "POST", "url": "/v1/completions", "body": body,
            });
            let submitted = entry
                .post("/v1/batches", "", item.to_string())
                .header("idempotency-key", "k")
                .header("x-eel-service", "scribe")
                .header("x-eel-deadline-ms", "600000")
                .header("x-eel-repeatable", repeatable.to_string())
                .send()
                .await
                .expect("a response");
            let status: Value = submitted.json().await.expect("a JSON body");
            let job = status["id"].as_str().expect("a job");
            eventually("the item runs", async || target.engine.running() == 1).await;
            pause(&platform, &target, &entry, beside).await;
            let path = format!("/v1/batches/{job}/results?follow=true");
            let text = entry.get(&path).await.text().await.expect("the results");
            let line: Value = serde_json::from_str(text.trim()).expect("a line");
            let counts = target.engine.counts().total();
            assert_eq!(line["response"]["status_code"], 200, "{case}: {line}");
            assert_eq!(counts.started, 1, "{case}: {counts:?}");
        }
    }
}

/// The other targets fail, so that only the paused one can answer.
#[tokio::test]
async fn no_other_can_take_over() {
    let (mut platform, first, entry) = start().await;
    let mut targets = vec![first];
    for name in ["t2", "t3"] {
        targets.push(platform.start_target(name, "scribe-runners").await);
    }
    entry.wait_targets(targets.len()).await;
    let body = json!({ "model": "scribe", "prompt": "x", "max_tokens": LONG });
    let request = entry
        .post("/v1/completions", "a", body.to_string())
        .header("x-eel-repeatable", "true");
    let paused = async {
        let is_running = |target: &&Target| target.engine.running() == 1;
        eventually("the request runs", async || {
            targets.iter().any(|target| is_running(&target))
        })
        .await;
        let (running, others): (Vec<_>, Vec<_>) = targets.iter().partition(is_running);
        for other in others {
            other.engine.set_fault(Fault::CloseBeforeExecution);
        }
        pause(&platform, running[0], &entry, Beside::Nothing).await;
    };
    let (outcome, ()) = tokio::join!(outcome_of(request), paused);
    assert_eq!(outcome, CallerOutcome::Success, "{}", entry.node.log());
}
