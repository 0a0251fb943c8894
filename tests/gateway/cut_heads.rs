//! A target stops within the head of its response and closes the connection.
//!
//! Guards against a caller that gets a success with an empty or short body, framed as whole.

use eel_platform::standin::LiteralScript;

use crate::fixture::{Fixture, PATHS};

/// Heads of responses with each framing.
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 14\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ncontent-type: text/event-stream\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.0 200 OK\r\nx-eelgrassgap-attempt-id: {id}\r\nx-eelgrassgap-response-seal: seal\r\n\r\n",
];

/// Returns the start of a head up to each end of a line, and up to the bytes around it and in the middle of the line.
fn cuts(head: &str) -> Vec<String> {
    let mut cuts = vec![String::new()];
    let mut start = 0;
    while let Some(length) = head[start..].find("\r\n") {
        let end = start + length;
        for cut in [start + length / 2, end, end + 1, end + 2] {
            cuts.push(head[..cut].to_owned());
        }
        start = end + 2;
    }
    cuts.retain(|it| it != head);
    cuts.dedup();
    cuts
}

/// Sends requests until a target responds with `cut`; returns the status and the body that the caller gets.
async fn send_until_cut(
    fixture: &Fixture,
    script: &LiteralScript,
    cut: &str,
    path: &str,
    id: &str,
) -> (u16, reqwest::Result<String>) {
    let attempt = async |id: &str| {
        *script.lock().expect("the script") = [cut.to_owned()].into();
        let response = fixture.post(path, id).send().await.expect("a response");
        let status = response.status().as_u16();
        let body = response.text().await;
        let was_sent = script.lock().expect("the script").is_empty();
        was_sent.then_some((status, body))
    };
    fixture.retry(id, attempt).await
}

#[tokio::test(flavor = "multi_thread")]
async fn success_with_a_cut_head() {
    let script = LiteralScript::default();
    let (fixture, _targets) = Fixture::start_literal(&script).await;
    let mut wrong = Vec::new();
    for (number, cut) in HEADS.iter().flat_map(|head| cuts(head)).enumerate() {
        for path in PATHS {
            let id = format!("r{number}{}", path.replace('/', "-"));
            let (status, body) = send_until_cut(&fixture, &script, &cut, path, &id).await;
            let is_repeatable = path.starts_with("/idempotent") || path.starts_with("/resumable");
            let is_whole = body.as_deref().is_ok_and(|body| match path {
                "/idempotent/1" => body == "the whole body",
                _ => body.ends_with("id: 5\ndata: word5\n\n"),
            });
            let is_right = match status {
                200 => is_repeatable && is_whole,
                status => status == 502,
            };
            if !is_right {
                wrong.push((cut.clone(), path, status, body));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
