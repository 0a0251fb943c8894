//! Items of a job and their results, one JSON object a line.

use eel_types::Name;
use eel_verdict::{Reason, Verdict};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::ItemIndex;

/// An HTTP method that an item may use.
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
    /// Returns the method as it stands in a request line.
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

/// One request of a job, shaped after the `OpenAI` batch interface.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// The caller's own name for the item, unique within the job.
    pub custom_id: Name,
    /// The HTTP method.
    pub method: Method,
    /// The path at the service, from the first slash.
    pub url: Name,
    /// The JSON body, sent as it was submitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Box<RawValue>>,
}

/// A whole answer of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Response {
    /// The HTTP status.
    pub status_code: u16,
    /// The JSON body; an answer that is not JSON stands as a string.
    pub body: Box<RawValue>,
}

impl Response {
    /// Wraps the bytes of an answer.
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

/// The final error of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemError {
    /// The last cause.
    pub reason: Reason,
    /// Whether the item may have run, over all attempts.
    pub verdict: Verdict,
    /// How often the last holder sent the item.
    pub attempts: u32,
}

/// How an item ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The service answered.
    Response(Response),
    /// The item was given up.
    Error(ItemError),
}

/// The one result of an item.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemResult {
    /// The place of the item in its chunk.
    pub item: ItemIndex,
    /// How the item ended.
    pub outcome: Outcome,
}

impl ItemResult {
    /// Estimates the encoded size before compression.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 96;
        match &self.outcome {
            Outcome::Response(response) => FIXED_BYTES + response.body.get().len(),
            Outcome::Error(_) => FIXED_BYTES,
        }
    }
}
