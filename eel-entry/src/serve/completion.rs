//! Extracts the model and a hash of the prompt prefix from the body of a completion request.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// The length of the prompt prefix that is hashed.
const PREFIX_BYTES: usize = 512;

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
}

/// The fields of a completion request that the entry node uses.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Completion {
    pub(crate) model: Option<String>,
    pub(crate) prefix_hash: Option<u64>,
}

impl Completion {
    /// Parses a request body. The prefix is that of `messages`, or of `prompt` if there are none.
    ///
    /// # Errors
    ///
    /// [`serde_json::Error`] if the body is not a JSON object or `model` is not a string.
    pub(crate) fn parse(body: &[u8]) -> serde_json::Result<Self> {
        let body: Body<'_> = serde_json::from_slice(body)?;
        let prompt = body.messages.or(body.prompt);
        Ok(Self {
            model: body.model.map(Cow::into_owned),
            prefix_hash: prompt.map(|prompt| hash_prefix(prompt.get())),
        })
    }
}

fn hash_prefix(prompt: &str) -> u64 {
    let prompt = prompt.as_bytes();
    xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)])
}
