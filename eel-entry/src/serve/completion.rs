//! What an entry node looks at in the body of a completion request.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// The length of the prompt's beginning that is hashed.
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

/// The model and the prompt's beginning of a completion request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Completion {
    pub(crate) model: Option<String>,
    pub(crate) prefix_hash: Option<u64>,
}

impl Completion {
    /// Reads a request body.
    ///
    /// # Errors
    ///
    /// If the body is not a JSON object of the expected shape.
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
