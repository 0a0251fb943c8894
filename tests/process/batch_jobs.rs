//! Batch jobs while entry nodes are killed or stopped, targets are killed, or the store is down.
//!
//! Guards against lost or duplicate results, and against a second execution of an item that is not repeatable. Both can
//! come about when another entry node takes over the chunk of a node that is gone or has lost its lease.

use std::time::Duration;

use eel_standin::kv::Faults;
use nix::sys::signal::Signal;
use serde_json::Value;

use crate::fleet::{Entry, Platform, Service, Target, eventually};

const ITEMS: u32 = 300;
const POOL: &str = "scribe-runners";

fn item_lines() -> String {
    let line = |item| {
        format!(
            r#"{{"custom_id":"i{item}","method":"POST","url":"/v1/completions","body":{{"model":"scribe","prompt":"{item}","max_tokens":100}}}}"#
        )
    };
    (0..ITEMS).map(line).collect::<Vec<_>>().join("\n")
}

async fn submit(entry: &Entry, repeatable: bool) -> String {
    let request = entry.post("/v1/batches", "", item_lines());
    let request = request.header("idempotency-key", "k");
    let request = request.header("x-eel-service", "scribe");
    let request = request.header("x-eel-deadline-ms", "600000");
    let request = request.header("x-eel-repeatable", repeatable.to_string());
    let response = request.send().await.expect("a response");
    assert_eq!(response.status(), 200, "{}", entry.node.log());
    let status: Value = response.json().await.expect("a JSON body");
    status["id"].as_str().expect("a job").to_owned()
}

/// Reads the results until all items have one; reads again if the connection ends early.
async fn read_results(entry: &Entry, job: &str) -> Vec<Value> {
    let path = format!("/v1/batches/{job}/results?follow=true");
    let mut lines = Vec::new();
    eventually("all items have a result", async || {
        let response = entry.get(&path).await;
        let Ok(text) = response.text().await else {
            return false;
        };
        let parsed = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("a line"));
        lines = parsed.collect();
        lines.len() == ITEMS as usize
    })
    .await;
    lines
}

fn executions(targets: &[Target]) -> u32 {
    let totals = targets.iter().map(|target| target.engine.counts().total());
    totals.map(|total| total.started).sum()
}

/// Checks that each item has one result, which agrees with the executions, and that no item that is not repeatable ran
/// twice.
fn check_results(repeatable: bool, id: &str, lines: &[Value], targets: &[Target]) {
    for (item, line) in lines.iter().enumerate() {
        assert_eq!(line["custom_id"], format!("i{item}"));
        let tag = format!("{id}-000000-{item:06}");
        let started: u32 = targets
            .iter()
            .map(|target| target.engine.counts().of(&tag).started)
            .sum();
        if line["error"].is_null() {
            assert_eq!(line["response"]["status_code"], 200, "{line}");
            assert!(started >= 1);
        }
        if repeatable {
            assert!(line["error"].is_null(), "{line}");
        } else {
            assert!(started <= 1, "{line} ran {started} times");
        }
        if line["error"]["verdict"] == "not-run" {
            assert_eq!(started, 0, "{line}");
        }
    }
}

struct Fixture {
    platform: Platform,
    targets: Vec<Target>,
    /// The entry node that holds the claim on the job's only chunk.
    holder: Entry,
    other: Entry,
    id: String,
}

impl Fixture {
    /// Starts two targets, two entry nodes and a job; returns when a third of the items has started.
    async fn start(repeatable: bool) -> Self {
        let mut platform = Platform::start(&[Service::Scribe]).await;
        let mut targets = Vec::new();
        for name in ["t1", "t2"] {
            targets.push(platform.start_target(name, POOL).await);
        }
        let first = platform.start_ready_entry("e1").await;
        let second = platform.start_ready_entry("e2").await;
        let id = submit(&first, repeatable).await;
        eventually("a third of the items has started", async || {
            executions(&targets) >= ITEMS / 3
        })
        .await;
        assert!(executions(&targets) < ITEMS);
        let (holder, other) = if first.node.log().contains("Claimed chunk") {
            (first, second)
        } else {
            (second, first)
        };
        Self {
            platform,
            targets,
            holder,
            other,
            id,
        }
    }
}

#[tokio::test]
async fn entry_killed_with_claims() {
    for repeatable in [true, false] {
        let fixture = Fixture::start(repeatable).await;
        fixture.holder.node.signal(Signal::SIGKILL);
        let lines = read_results(&fixture.other, &fixture.id).await;
        check_results(repeatable, &fixture.id, &lines, &fixture.targets);
    }
}

#[tokio::test]
async fn entry_stopped_past_its_lease() {
    for repeatable in [true, false] {
        let fixture = Fixture::start(repeatable).await;
        fixture.holder.node.signal(Signal::SIGSTOP);
        let lines = read_results(&fixture.other, &fixture.id).await;
        fixture.holder.node.signal(Signal::SIGCONT);
        // The resumed node finds its lease lost; the items that it was running add no results.
        fixture.holder.node.value_after("was lost").await;
        assert_eq!(read_results(&fixture.other, &fixture.id).await, lines);
        check_results(repeatable, &fixture.id, &lines, &fixture.targets);
    }
}

#[tokio::test]
async fn target_lost_twice_then_an_entry() {
    for repeatable in [true, false] {
        let mut fixture = Fixture::start(repeatable).await;
        fixture.targets[0].node.signal(Signal::SIGKILL);
        fixture
            .targets
            .push(fixture.platform.start_target("t3", POOL).await);
        fixture.targets[1].node.signal(Signal::SIGKILL);
        fixture.holder.node.signal(Signal::SIGKILL);
        let lines = read_results(&fixture.other, &fixture.id).await;
        check_results(repeatable, &fixture.id, &lines, &fixture.targets);
    }
}

#[tokio::test]
async fn entry_leaves_and_hands_back() {
    let fixture = Fixture::start(false).await;
    fixture.holder.node.signal(Signal::SIGTERM);
    assert!(fixture.holder.node.wait_exit().await.success());
    let lines = read_results(&fixture.other, &fixture.id).await;
    check_results(false, &fixture.id, &lines, &fixture.targets);
    assert!(lines.iter().all(|line| line["error"].is_null()));
}

#[tokio::test]
async fn cancelled_job_stops() {
    let fixture = Fixture::start(true).await;
    let path = format!("/v1/batches/{}/cancel", fixture.id);
    let response = fixture.other.post(&path, "", "").send().await;
    assert_eq!(response.expect("a response").status(), 200);
    let lines = read_results(&fixture.other, &fixture.id).await;
    let started = executions(&fixture.targets);
    let path = format!("/v1/batches/{}", fixture.id);
    let status = fixture.holder.get(&path).await;
    let status: Value = status.json().await.expect("a JSON body");
    assert_eq!(status["state"], "cancelled");
    let answered = lines.iter().filter(|line| line["error"].is_null()).count();
    assert_eq!(status["completed"], answered);
    assert!(answered < ITEMS as usize);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(executions(&fixture.targets), started);
}

#[tokio::test]
async fn store_down_past_the_lease() {
    for repeatable in [true, false] {
        let fixture = Fixture::start(repeatable).await;
        fixture.platform.store.set_faults(Faults {
            unavailable: true,
            ..Faults::default()
        });
        // Online requests are still served. A job cannot be stored, so it is rejected with the verdict not-run.
        let online = r#"{"model":"scribe","prompt":"x","max_tokens":1}"#;
        eventually("the lease is lost", async || {
            let response = fixture.other.complete("online", online).await;
            assert_eq!(response.expect("a response").status(), 200);
            fixture.holder.node.log().contains("was lost")
        })
        .await;
        let request = fixture.other.post("/v1/batches", "", item_lines());
        let request = request.header("idempotency-key", "other");
        let request = request.header("x-eel-service", "scribe");
        let request = request.header("x-eel-deadline-ms", "600000");
        let refused = request.send().await.expect("a response");
        assert_eq!(refused.status(), 503);
        assert_eq!(refused.headers()["x-eel-verdict"], "not-run");
        fixture.platform.store.set_faults(Faults::default());
        let lines = read_results(&fixture.other, &fixture.id).await;
        check_results(repeatable, &fixture.id, &lines, &fixture.targets);
    }
}
