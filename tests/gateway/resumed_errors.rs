//! A stream breaks off, and the next target responds with an error, or with what does not continue the stream.
//!
//! Guards against the text of an error, or a part of another run, in the middle of a caller's stream, and against a stream
//! or an item that ends there as if it were complete.

use eel_platform::standin::LiteralScript;
use serde_json::{Value, json};

use crate::fixture::Fixture;

const HEAD: &str = "x-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\n";
const EVENTS: &str = "content-type: text/event-stream\r\n";
const WHOLE: &str = "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\nid: 4\ndata: word4\n\nid: 5\ndata: word5\n\n";
const TWO_EVENTS: &str = "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n";
const LAST_EVENTS: &str = "id: 4\ndata: word4\n\nid: 5\ndata: word5\n\n";
const NOT_RUN: &str = "x-eelgrassgap-not-executed: 1\r\n";

fn response(status: u16, head: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Any\r\n{HEAD}{head}content-length: {length}\r\n\r\n{body}")
}

/// A stream that breaks off after its second event.
fn broken_off() -> String {
    let length = TWO_EVENTS.len();
    format!(
        "HTTP/1.1 200 OK\r\n{HEAD}{EVENTS}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{TWO_EVENTS}\r\n"
    )
}

/// What does not continue a stream after its second event.
fn errors() -> Vec<String> {
    let error = "upstream failed\n\n";
    let event = "data: upstream failed\n\n";
    let json = "{\"error\": \"upstream failed\"}\n\n";
    let mut errors = Vec::new();
    for status in [400, 404, 408, 421, 422, 429, 500, 502, 503, 504] {
        errors.push(response(status, "", error));
        errors.push(response(status, EVENTS, event));
    }
    for status in [421, 429, 503] {
        errors.push(response(status, NOT_RUN, error));
    }
    for status in [200, 203, 206, 302] {
        errors.push(response(status, "content-type: application/json\r\n", json));
        errors.push(response(status, "", error));
    }
    errors.push(format!("HTTP/1.1 204 None\r\n{HEAD}\r\n"));
    errors.push(format!("HTTP/1.1 204 None\r\n{HEAD}{EVENTS}\r\n"));
    errors.push(response(200, EVENTS, event));
    errors.push(response(200, EVENTS, &format!("event: error\n{event}")));
    // From the start, and past the next event.
    errors.push(response(200, EVENTS, WHOLE));
    errors.push(response(200, EVENTS, LAST_EVENTS));
    errors.push(format!("HTTP/1.1 500 Error\r\n{HEAD}\r\n{error}"));
    errors.push("HTTP/1.1 500 Err".to_owned());
    errors
}

/// Sends requests until a stream begins that breaks off and continues with `error`; returns its text, and whether its end is
/// that of a complete response.
async fn read_stream(
    fixture: &Fixture,
    script: &LiteralScript,
    error: &str,
    id: &str,
) -> (String, bool) {
    let attempt = async |id: &str| {
        *script.lock().expect("the script") = [broken_off(), error.to_owned()].into();
        let sent = fixture.post("/resumable-stream/1", id).send().await;
        let mut response = sent.expect("a response");
        if response.status() != 200 {
            return None;
        }
        let mut text = String::new();
        loop {
            match response.chunk().await {
                Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
                Ok(None) => return Some((text, true)),
                Err(_) => return Some((text, false)),
            }
        }
    };
    fixture.retry(id, attempt).await
}

/// Runs an item whose text breaks off and continues with `error`; returns its result.
async fn run_item(fixture: &Fixture, script: &LiteralScript, error: &str, id: &str) -> Value {
    *script.lock().expect("the script") = [broken_off(), error.to_owned()].into();
    let items = json!({"items": [{"id": format!("{id}-0"), "path": "/jobs/stream", "body": ""}]});
    let submitted = fixture.post("/jobs/submit", id).body(items.to_string());
    let submitted = submitted.send().await.expect("a response");
    assert_eq!(submitted.status(), 202);
    let mut result = Value::Null;
    fixture
        .wait_until("the item is listed", async || {
            let url = format!("http://{}/eelgrassgap/lots/{id}?after=0", fixture.node.http);
            let read = fixture.client.get(url).send().await;
            let Ok(document) = read.expect("a response").json::<Value>().await else {
                return false;
            };
            result = document["results"][0].clone();
            !result.is_null()
        })
        .await;
    result
}

#[tokio::test(flavor = "multi_thread")]
async fn error_in_a_stream() {
    let script = LiteralScript::default();
    let (fixture, _targets) = Fixture::start_literal(&script).await;
    let mut wrong = Vec::new();
    for (number, error) in errors().into_iter().enumerate() {
        let id = format!("r{number}");
        let (text, is_whole) = read_stream(&fixture, &script, &error, &id).await;
        let is_part = WHOLE.starts_with(&text) && text.len() >= TWO_EVENTS.len();
        if !is_part || is_whole != (text == WHOLE) {
            wrong.push((error, text, is_whole));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn error_in_an_item() {
    let script = LiteralScript::default();
    let (fixture, _targets) = Fixture::start_literal(&script).await;
    let mut wrong = Vec::new();
    for (number, error) in errors().into_iter().enumerate() {
        // A target may say that an item can never be done, or that it failed.
        if error.starts_with("HTTP/1.1 422") || error.starts_with("HTTP/1.1 500 Any") {
            continue;
        }
        let result = run_item(&fixture, &script, &error, &format!("j{number}")).await;
        if result["state"] != "completed" || result["text"] != "word1\nword2\nword3\nword4\nword5" {
            wrong.push((error, result));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
