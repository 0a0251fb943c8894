//! What a node has seen of a target that ended as it began a response.

use serde::{Deserialize, Serialize};

use crate::Part;

/// The number of events of a response up to which it has only begun.
pub const MAX_FIRST_EVENTS: u64 = 3;

/// A request, as far as it can be the cause of a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Hash of the request's id.
    pub request: u64,
    /// The parts of the prompt that other requests may share, in order.
    pub parts: Vec<Part>,
}

/// A target that ended as it began the response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the target's incarnation.
    pub target: u64,
    /// The request.
    pub prompt: Prompt,
}
