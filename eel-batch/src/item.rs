//! Items of a job and their results, each one JSON object per line.

use eel_types::Name;
use eel_verdict::{Reason, Verdict};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::ItemIndex;

/// The HTTP methods that items may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// `GET`.
    Get,
    /// `POST`.
    Post,
    /// `PUT`.
    Put,
    /// `DELETE`.
    Delete,
}

impl Method {
    /// Returns the method as written in a request line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
        }
    }
}

/// One request of a job, in the format of the `OpenAI` batch API.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// The id that the caller gave the item, unique in the job.
    pub custom_id: Name,
    /// The method of the HTTP request.
    pub method: Method,
    /// The path of the request, with a leading slash.
    pub url: Name,
    /// The JSON body, sent byte for byte as submitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Box<RawValue>>,
}

/// A complete response of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Response {
    /// The HTTP status code.
    pub status_code: u16,
    /// The JSON body; a body that is not JSON is stored as a JSON string.
    pub body: Box<RawValue>,
}

impl Response {
    /// Creates a response from the bytes of its body.
    #[must_use]
    pub fn from_bytes(status_code: u16, bytes: &[u8]) -> Self {
        let json = serde_json::from_slice::<Box<RawValue>>(bytes).ok();
        let body = json.unwrap_or_else(|| {
            let text = String::from_utf8_lossy(bytes);
            serde_json::value::to_raw_value(&text).unwrap_or_else(|_| RawValue::NULL.to_owned())
        });
        Self { status_code, body }
    }
}

/// The error of an item that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemError {
    /// The reason of the last failure.
    pub reason: Reason,
    /// Whether the item may have run in any attempt.
    pub verdict: Verdict,
    /// The number of attempts by the last holder of the chunk.
    pub attempts: u32,
}

/// How an item ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The service responded.
    Response(Response),
    /// The item was given up.
    Error(ItemError),
}

/// The final result of an item.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemResult {
    /// The position of the item in its chunk.
    pub item: ItemIndex,
    /// The response or the error.
    pub outcome: Outcome,
}

impl ItemResult {
    /// Estimates the encoded size before compression, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 96;
        match &self.outcome {
            Outcome::Response(response) => FIXED_BYTES + response.body.get().len(),
            Outcome::Error(_) => FIXED_BYTES,
        }
    }
}
