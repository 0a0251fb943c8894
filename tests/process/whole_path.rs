//! Requests through entry node, target node and target: exact responses, rejections and spans.
//!
//! Guards against a response that is changed on its way, an invalid request that reaches a target, and a trace that
//! breaks off when a node does not pass on the trace id or ends before it has written its spans.

use serde_json::{Value, json};

use crate::fleet::{Platform, Service};

#[tokio::test]
async fn whole_completion() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let response = entry
        .complete(
            "a",
            r#"{"model":"radio-scribe","prompt":"x","max_tokens":3}"#,
        )
        .await
        .expect("a response");
    assert_eq!(response.status(), 200, "{}", entry.node.log());
    let body: Value = response.json().await.expect("a JSON body");
    assert_eq!(body["choices"][0]["text"], "a-0 a-1 a-2 ");
    assert_eq!(target.engine.counts().of("a").finished, 1);
}

#[tokio::test]
async fn streamed_completion() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let _target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let response = entry
        .complete(
            "b",
            r#"{"model":"scribe","prompt":"x","max_tokens":2,"stream":true}"#,
        )
        .await
        .expect("a response");
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let body = response.text().await.expect("a complete body");
    let event = |text: &str| json!({ "choices": [{ "index": 0, "text": text }] });
    let expected = format!(
        "data: {}\n\ndata: {}\n\ndata: [DONE]\n\n",
        event("b-0 "),
        event("b-1 ")
    );
    assert_eq!(body, expected);
}

#[tokio::test]
async fn plain_service() {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let _target = platform.start_target("t1", "dispatch-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let response = entry
        .post("/services/dispatch/alerts?field=7", "c", "tow ready")
        .send()
        .await
        .expect("a response");
    assert_eq!(response.status(), 200);
    let body: Value = response.json().await.expect("a JSON body");
    assert_eq!(
        body,
        json!({ "tag": "c", "method": "POST", "path": "/alerts", "body": "tow ready" })
    );
}

#[tokio::test]
async fn bad_requests() {
    let mut platform = Platform::start(&[Service::Scribe, Service::Dispatch]).await;
    let target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let cases = [
        ("/v1/completions", "{", "400", "bad-request"),
        (
            "/v1/completions",
            r#"{"model":"none"}"#,
            "404",
            "unknown-service",
        ),
        ("/v1/other", "{}", "404", "unknown-service"),
        ("/services/none/x", "{}", "404", "unknown-service"),
        ("/services/dispatch/x", "{}", "503", "no-target"),
    ];
    for (path, body, status, reason) in cases {
        let response = entry
            .post(path, "d", body)
            .send()
            .await
            .expect("a response");
        let found = response.status().as_str().to_owned();
        assert_eq!(
            response.headers()["x-eel-verdict"],
            "not-run",
            "{path} {body}"
        );
        let error: Value = response.json().await.expect("a JSON body");
        assert_eq!(found, status, "{path} {body}");
        assert_eq!(error["error"]["type"], reason, "{path} {body}");
    }
    let oversized = "x".repeat(70_000);
    let response = entry
        .post("/services/dispatch/x", "d", oversized)
        .send()
        .await;
    assert_eq!(response.expect("a response").status(), 413);
    let unknown = entry.post_as("other", "/v1/completions", "d", "{}");
    assert_eq!(unknown.send().await.expect("a response").status(), 401);
    assert_eq!(target.engine.counts().total().started, 0);
}

#[tokio::test]
async fn spans_join() {
    let trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    let response = entry
        .post("/v1/completions", "e", r#"{"model":"scribe","prompt":"x"}"#)
        .header("traceparent", format!("00-{trace_id}-00f067aa0ba902b7-01"))
        .send()
        .await
        .expect("a response");
    assert_eq!(response.status(), 200);
    entry.node.signal(nix::sys::signal::Signal::SIGTERM);
    assert!(entry.node.wait_exit().await.success());
    target.node.signal(nix::sys::signal::Signal::SIGTERM);
    assert!(target.node.wait_exit().await.success());
    let expected = [
        ("e1.trace", "entry"),
        ("e1.trace", "attempt"),
        ("t1.trace", "target"),
    ];
    for (file, name) in expected {
        let lines = std::fs::read_to_string(platform.path(file)).expect("a trace file");
        let spans = lines
            .lines()
            .map(|line| serde_json::from_str::<Value>(line).expect("a span"));
        let found = spans.filter(|span| span["trace_id"] == trace_id && span["name"] == name);
        assert_eq!(found.count(), 1, "{name} in {file}:\n{lines}");
    }
}
