//! Request and response bodies of the stand-in engine.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;

const DEFAULT_TOKENS: usize = 8;

/// The fields of a completion request that the stand-in uses.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct CompletionRequest {
    #[serde(default)]
    pub(super) stream: bool,
    pub(super) max_tokens: Option<usize>,
}

impl CompletionRequest {
    /// Parses a request body; a body that is not JSON counts as an empty request.
    pub(super) fn parse(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// Returns the number of tokens to produce.
    pub(super) fn tokens(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// Returns the text of token `index` of the response to the request with `tag`.
fn token(tag: &str, index: usize) -> String {
    format!("{tag}-{index} ")
}

/// Returns the parts of a streamed response: one event for each token, then the `[DONE]` marker.
pub(super) fn events(tag: &str, tokens: usize) -> Vec<Bytes> {
    let mut parts: Vec<Bytes> = (0..tokens)
        .map(|index| {
            let event = json!({ "choices": [{ "index": 0, "text": token(tag, index) }] });
            Bytes::from(format!("data: {event}\n\n"))
        })
        .collect();
    parts.push(Bytes::from_static(b"data: [DONE]\n\n"));
    parts
}

/// Returns a response that is one JSON document, split into two parts.
pub(super) fn document(tag: &str, tokens: usize) -> Vec<Bytes> {
    let text: String = (0..tokens).map(|index| token(tag, index)).collect();
    let response = json!({
        "object": "text_completion",
        "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
        "usage": { "completion_tokens": tokens },
    });
    split_in_two(response.to_string())
}

/// Returns the response of a plain service, which echoes the request, split into two parts.
pub(super) fn echo(tag: &str, method: &str, path: &str, body: &[u8]) -> Vec<Bytes> {
    let response = json!({
        "tag": tag,
        "method": method,
        "path": path,
        "body": String::from_utf8_lossy(body),
    });
    split_in_two(response.to_string())
}

fn split_in_two(text: String) -> Vec<Bytes> {
    let mut first = Bytes::from(text);
    let rest = first.split_off(first.len() / 2);
    vec![first, rest]
}
