//! The current in-memory form of each record kind, to which all schema versions are upgraded.

use eel_types::{Class, Name};
use serde::{Deserialize, Serialize};

/// The protocol of a service's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    /// An inference engine with the `/v1/completions` and `/v1/chat/completions` endpoints of the `OpenAI` API.
    Openai,
    /// A plain HTTP service.
    Plain,
}

/// The repeatability of requests with a given method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The HTTP method in upper case, or `*` for all methods.
    pub method: Name,
    /// The path prefix, starting with `/`.
    pub path_prefix: Name,
    /// Whether a request may run more than once.
    pub repeatable: bool,
}

/// A service: a pool of targets and the handling of its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The pool of targets, as the VM list names it.
    pub pool: Name,
    /// The protocol of the targets.
    pub protocol: Protocol,
    /// The model that the targets run; set for `openai` services only.
    pub model: Option<Name>,
    /// The priority class of online requests.
    pub class: Class,
    /// The time limit of a request that has no shorter deadline.
    pub timeout_ms: u64,
    /// The number of requests that one target runs concurrently.
    pub slots: u32,
    /// The maximum number of online requests in the queue of one target node.
    pub queue: u32,
    /// The maximum size of a request body.
    pub max_body_bytes: u64,
    /// The latency objective for the first token or byte.
    pub first_token_ms: u64,
    /// The latency objective for the time between tokens.
    pub between_tokens_ms: u64,
    /// Whether requests that match none of `routes` may run more than once.
    pub repeatable: bool,
    /// Overrides of `repeatable` by method and path; the first match applies.
    pub routes: Vec<Route>,
}

/// A version of a model, with its weights and its share of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The name of the version, unique within the model.
    pub name: Name,
    /// The key of the weights in the weight store.
    pub weights: Name,
    /// The percentage of the pool that serves this version.
    pub share_percent: u8,
}

/// A model and the versions of it that are served concurrently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The versions to serve; their shares add up to 100 percent.
    pub versions: Vec<ModelVersion>,
    /// The adapters to load with each version.
    pub adapters: Vec<Name>,
}

/// A caller: its credentials, permissions and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerSpec {
    /// The SHA-256 digests of the caller's keys, in lower-case hexadecimal.
    pub key_sha256: Vec<Name>,
    /// The services that the caller may use; `*` stands for all.
    pub services: Vec<Name>,
    /// The sustained rate limit, in requests per second.
    pub rate_per_s: u32,
    /// The number of requests that the caller may start at once after a pause: the burst size of the rate limit.
    pub burst: u32,
    /// The maximum number of concurrent requests at one entry node.
    pub concurrency: u32,
}
