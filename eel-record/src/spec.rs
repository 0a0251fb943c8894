//! The current in-memory form of each record kind; older schema versions are upgraded to it.

use eel_types::{Class, Name};
use serde::{Deserialize, Serialize};

/// What a service's targets speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    /// A model engine with the `/v1/completions` and `/v1/chat/completions` interface.
    Openai,
    /// A plain HTTP service.
    Plain,
}

/// Whether calls of one method and path prefix may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The HTTP method in capitals, or `*` for all.
    pub method: Name,
    /// The path prefix, starting with `/`.
    pub path_prefix: Name,
    /// Whether a call may run more than once.
    pub repeatable: bool,
}

/// A service: a pool of targets, and how its requests are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The pool of targets, as the VM list names it.
    pub pool: Name,
    /// What the targets speak.
    pub protocol: Protocol,
    /// The model that the targets run; only for `openai` services.
    pub model: Option<Name>,
    /// The priority class of online requests.
    pub class: Class,
    /// The time allowed for a request that brings no shorter deadline.
    pub timeout_ms: u64,
    /// Requests that one target runs at the same time.
    pub slots: u32,
    /// Online requests that one target node may hold queued.
    pub queue: u32,
    /// The largest request body accepted.
    pub max_body_bytes: u64,
    /// The time to the first token or byte that the service aims at.
    pub first_token_ms: u64,
    /// The time between tokens that the service aims at.
    pub between_tokens_ms: u64,
    /// Whether calls that match none of `routes` may run more than once.
    pub repeatable: bool,
    /// Exceptions by method and path; the first match decides.
    pub routes: Vec<Route>,
}

/// One version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The version's name.
    pub name: Name,
    /// The key of the weights in the weight store.
    pub weights: Name,
    /// The share of the pool that serves this version, in percent.
    pub share_percent: u8,
}

/// A model and the versions of it that are served side by side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The versions to serve.
    pub versions: Vec<ModelVersion>,
    /// The adapters to load beside each version.
    pub adapters: Vec<Name>,
}

/// A caller: how it authenticates and what it may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerSpec {
    /// SHA-256 digests of the caller's keys, in lower-case hexadecimal.
    pub key_sha256: Vec<Name>,
    /// The services the caller may use; `*` stands for all.
    pub services: Vec<Name>,
    /// Requests a second that the caller may start.
    pub rate_per_s: u32,
    /// Requests that the caller may start at once after a pause.
    pub burst: u32,
    /// Requests that the caller may have open at one entry node.
    pub concurrency: u32,
}
