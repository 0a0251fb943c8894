//! Targets that send bytes without end, in a head or a body, until the target node closes the connection.
//!
//! Guards against an entry or target node that collects them until its memory is used up, and against a connection that
//! stays open past the deadline because the caller does not read.

use std::sync::atomic::Ordering;

use serde_json::Value;

use crate::{
    fleet::{Platform, RawTarget, Service, eventually},
    outcome::{SHORT_DEADLINE_MS, call},
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-endless: ";
const BODY: &str = "HTTP/1.1 200 OK\r\n\r\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\n";

/// How much both nodes together may take of one response: a quarter of a node's smallest memory, 120 MB, each.
const MAX_TAKEN_BYTES: u64 = 60 << 20;

#[tokio::test]
async fn online_requests() {
    for start in [HEAD, BODY, EVENTS] {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let raw = RawTarget::start(start, true).await;
        let _target = platform
            .start_target_at("t1", "dispatch-runners", &raw.url)
            .await;
        let entry = platform.start_ready_entry("e1").await;
        let response = call(&entry, false, "a", SHORT_DEADLINE_MS).send().await;
        // The caller keeps the response without reading it until the target node has closed its connection.
        eventually("the connection is closed", async || {
            raw.closed.load(Ordering::Relaxed) > 0
        })
        .await;
        let taken_bytes = raw.endless_bytes.load(Ordering::Relaxed);
        assert!(taken_bytes <= MAX_TAKEN_BYTES, "{start:?}: {taken_bytes}");
        let is_success = match response {
            Ok(response) => response.status().is_success() && response.bytes().await.is_ok(),
            Err(_) => false,
        };
        assert!(!is_success, "{start:?}");
    }
}

#[tokio::test]
async fn batch_items() {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let raw = RawTarget::start(BODY, true).await;
    let _target = platform
        .start_target_at("t1", "dispatch-runners", &raw.url)
        .await;
    let entry = platform.start_ready_entry("e1").await;
    let item = r#"{"custom_id":"i0","method":"POST","url":"/services/dispatch/alerts","body":{}}"#;
    let submitted = entry
        .post("/v1/batches", "", item)
        .header("idempotency-key", "k")
        .header("x-eel-service", "dispatch")
        .header("x-eel-deadline-ms", "20000")
        .send()
        .await
        .expect("a response");
    assert_eq!(submitted.status(), 200);
    let status: Value = submitted.json().await.expect("a JSON body");
    let job = status["id"].as_str().expect("a job");
    let path = format!("/v1/batches/{job}/results?follow=true");
    let text = entry.get(&path).await.text().await.expect("the results");
    let line: Value = serde_json::from_str(text.trim()).expect("a line");
    assert!(line["response"].is_null(), "{line}");
    let (taken_bytes, closed) = (
        raw.endless_bytes.load(Ordering::Relaxed),
        raw.closed.load(Ordering::Relaxed),
    );
    assert!(
        taken_bytes <= MAX_TAKEN_BYTES * closed.max(1),
        "{taken_bytes}"
    );
}
