//! Responses that say that an item failed, or end its run, without being the target's own failure of that run.
//!
//! Guards against an item that is listed as errored, or as completed without its output, though a target can complete it, and
//! against one that runs without a limit.

use std::{ops::RangeInclusive, time::Duration};

use eel_platform::standin::{Cut, Ending, Framing, LiteralScript, LiteralTarget, RawResponse};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::fixture::{Fleet, fleet, raw_fleet};

const WHOLE_TEXT: &str = "word1\nword2\nword3\nword4\nword5";

struct LiteralFleet {
    fleet: Fleet,
    script: LiteralScript,
    _targets: Vec<LiteralTarget>,
}

/// Starts one node before two targets that give the first requests `responses` and later ones a complete response.
async fn literal_fleet(responses: &[String]) -> LiteralFleet {
    let script = LiteralScript::default();
    script
        .lock()
        .expect("the script")
        .extend(responses.to_vec());
    let mut fleet = fleet(0, 0).await;
    let mut targets = Vec::new();
    for id in ["i-0", "i-1"] {
        let target = LiteralTarget::start(&fleet.store, id, script.clone()).await;
        targets.push(target.expect("a target"));
    }
    fleet.add_node("node-0", true).await;
    LiteralFleet {
        fleet,
        script,
        _targets: targets,
    }
}

/// Runs an item whose route allows two failures; returns its result and the number of `responses` that no run got.
async fn run_item(responses: &[String]) -> (Value, usize) {
    let literal = literal_fleet(responses).await;
    assert_eq!(literal.fleet.submit(0, "j1", &["stream/1"]).await, 202);
    let result = literal.fleet.results(0, "j1", 1).await.remove(0);
    let left = literal.script.lock().expect("the script").len();
    (result, left)
}

async fn assert_completes(responses: &[String]) {
    let (result, left) = run_item(responses).await;
    assert_eq!(result["state"], "completed", "{responses:?}, {left} left");
    assert_eq!(result["text"], WHOLE_TEXT, "{responses:?}");
    assert_eq!(left, 0, "{responses:?}");
}

/// Checks that the item is given up after the last but one of `responses`.
async fn assert_ends(responses: &[String]) {
    let (result, left) = run_item(responses).await;
    assert_eq!(result["state"], "errored", "{responses:?}");
    assert_eq!((&result["text"], left), (&Value::from(""), 1));
}

/// Returns a response to the request, with further `fields` and a body.
fn response(status: u16, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nx-eelgrassgap-attempt-id: {{id}}\r\n{fields}\r\n{body}")
}

fn unsigned(status: u16) -> String {
    response(status, "content-length: 0\r\n", "")
}

#[tokio::test]
async fn unsigned_rejection() {
    assert_completes(&vec![unsigned(422); 1]).await;
    assert_completes(&vec![unsigned(422); 2]).await;
    assert_ends(&vec![unsigned(422); 4]).await;
}

#[tokio::test]
async fn unsigned_failures() {
    assert_completes(&vec![unsigned(500); 2]).await;
    assert_completes(&vec![unsigned(500); 5]).await;
    assert_ends(&vec![unsigned(500); 7]).await;
}

// Guards against the verdict of an encoded response, which is not the target's own.
#[tokio::test]
async fn encoded_failures() {
    let encoded = |status| {
        let fields =
            "x-eelgrassgap-response-seal: seal\r\ncontent-encoding: gzip\r\ncontent-length: 0\r\n";
        response(status, fields, "")
    };
    assert_completes(&vec![encoded(422); 1]).await;
    assert_completes(&vec![encoded(500); 2]).await;
}

// Guards against an item that runs without a limit, as the bodies of its targets' responses break off.
#[tokio::test]
async fn failures_that_break_off() {
    let broken = |status| {
        let fields = "x-eelgrassgap-response-seal: seal\r\ncontent-length: 10\r\n";
        response(status, fields, "short")
    };
    assert_completes(&vec![broken(422); 2]).await;
    assert_completes(&vec![broken(500); 5]).await;
    assert_ends(&vec![broken(422); 4]).await;
    assert_ends(&vec![broken(500); 7]).await;
}

// Guards against a text that is lost or spoilt by a failure of the run that resumes it.
#[tokio::test]
async fn failures_of_a_resumed_text() {
    let seal = "x-eelgrassgap-response-seal: seal\r\n";
    let begun = response(
        200,
        &format!("{seal}content-type: text/event-stream\r\ncontent-length: 500\r\n"),
        "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\nda",
    );
    let failed = response(500, &format!("{seal}content-length: 0\r\n"), "");
    let encoded = response(500, &format!("{seal}content-encoding: gzip\r\n"), "");
    for failure in [failed, encoded, unsigned(500), unsigned(422)] {
        assert_completes(&[begun.clone(), failure]).await;
    }
    assert_completes(&[begun, unsigned(500), unsigned(500)]).await;
}

// Guards against an item that is completed without the output that its target has not sent.
#[tokio::test]
async fn success_without_events() {
    let seal = "x-eelgrassgap-response-seal: seal\r\n";
    let empty = response(200, &format!("{seal}content-length: 0\r\n"), "");
    let comment = response(200, &format!("{seal}content-length: 3\r\n"), ":a\n");
    let chunked = response(
        200,
        &format!("{seal}transfer-encoding: chunked\r\n"),
        "0\r\n\r\n",
    );
    for success in [empty, comment, chunked] {
        assert_completes(&[success]).await;
    }
}

// Guards against texts without end that count as failures of the item.
#[tokio::test]
async fn endless_text() {
    let endless = RawResponse {
        framing: Framing::Connection,
        cut: Cut::BetweenEvents,
        ending: Ending::EndlessEvents,
    };
    let raw = raw_fleet(&[endless; 4]).await;
    assert_eq!(raw.fleet.submit(0, "j1", &["stream/1"]).await, 202);
    let result = raw.fleet.results(0, "j1", 1).await.remove(0);
    assert_eq!(result["state"], "completed");
    assert_eq!(result["text"], WHOLE_TEXT);
}

// Guards against an accepted job with an item that no target can get.
#[tokio::test]
async fn unsendable_item() {
    let fleet = fleet(1, 1).await;
    let submit = async |path: &str, headers: Value| {
        let good = json!({"id": "good", "path": "/jobs/stream/1"});
        let other = json!({"id": "other", "path": path, "headers": headers});
        let body = json!({"items": [good, other]}).to_string();
        let sent = fleet.post(0, "/jobs/submit", "j1").body(body).send().await;
        let response = sent.expect("a response");
        let status = response.status().as_u16();
        (status, response.text().await.expect("a body"))
    };
    for (path, headers) in [
        ("/jobs/stream 2", json!({})),
        ("/jobs/stream/2#part", json!({})),
        ("/jobs/stream/2", json!({"a b": "c"})),
        ("/jobs/stream/2", json!({"a": "b\nc"})),
    ] {
        let (status, reason) = submit(path, headers).await;
        assert_eq!(status, 400, "{path}");
        assert!(reason.contains("the item other"), "{path}: {reason}");
    }
    // The job is not known yet, so that a corrected one may come.
    assert_eq!(submit("/jobs/stream/2", json!({"a": "b"})).await.0, 202);
    for result in fleet.results(0, "j1", 2).await {
        assert_eq!(result["state"], "completed");
    }
}

/// Runs `count` items, at a node with two targets of which one answers every run `faulty`; returns the errored ones.
async fn errored_beside_a_faulty_target(faulty: &str, count: usize) -> usize {
    let (bad, good) = (LiteralScript::default(), LiteralScript::default());
    let responses = vec![faulty.to_owned(); 10_000];
    bad.lock().expect("the script").extend(responses);
    let mut fleet = fleet(0, 0).await;
    let mut targets = Vec::new();
    for (id, script) in [("i-0", bad), ("i-1", good)] {
        let target = LiteralTarget::start(&fleet.store, id, script).await;
        targets.push(target.expect("a target"));
    }
    fleet.add_node("node-0", true).await;
    let paths = vec!["stream/1"; count];
    assert_eq!(fleet.submit(0, "j1", &paths).await, 202);
    let results = fleet.results(0, "j1", count).await;
    let errored = results.iter().filter(|it| it["state"] == "errored");
    errored.count()
}

// Guards against an item whose doubtful answers all come from one target, or over the way to it, while another target can
// complete it.
#[tokio::test]
async fn rejections_of_one_faulty_target() {
    assert_eq!(errored_beside_a_faulty_target(&unsigned(422), 60).await, 0);
}

#[tokio::test]
async fn failures_of_one_faulty_target() {
    assert_eq!(errored_beside_a_faulty_target(&unsigned(500), 60).await, 0);
}

/// Returns a response with the events `ids` of 1 KiB each that breaks off after the last of them.
fn long_events(ids: RangeInclusive<u64>) -> String {
    let fields = "x-eelgrassgap-response-seal: seal\r\ncontent-type: text/event-stream\r\ncontent-length: 9999999\r\n";
    let word = "x".repeat(1_024);
    let events: Vec<String> = ids
        .map(|id| format!("id: {id}\ndata: {word}\n\n"))
        .collect();
    response(200, fields, &events.concat())
}

// Guards against a text that one node has dropped as too long, and another one takes for the item's: it is the longest saved.
#[tokio::test]
async fn dropped_text_at_another_node() {
    let full = "x-eelgrassgap-not-executed: 1\r\ncontent-length: 0\r\n";
    let full = vec![response(503, full, ""); 100_000];
    let mut literal = literal_fleet(&[]).await;
    let set = |script: &LiteralScript, first: String| {
        let mut script = script.lock().expect("the script");
        script.clear();
        script.push_back(first);
        script.extend(full.iter().cloned());
    };
    set(&literal.script, long_events(1..=900));
    assert_eq!(literal.fleet.submit(0, "j1", &["stream/1"]).await, 202);
    // The node saves the text.
    sleep(Duration::from_secs(4)).await;
    set(&literal.script, long_events(901..=1_000));
    // It drops it.
    sleep(Duration::from_secs(4)).await;
    let metrics = literal.fleet.metrics(0).await;
    assert!(metrics.contains("discarded"), "{metrics}");
    literal.fleet.replace_nodes().await;
    literal.script.lock().expect("the script").clear();
    let result = literal.fleet.results(0, "j1", 1).await.remove(0);
    let text = result["text"].as_str().expect("a text");
    assert_eq!(result["state"], "completed");
    assert_eq!(text.len(), WHOLE_TEXT.len(), "{text:.60}");
}
