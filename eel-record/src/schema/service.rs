//! Schemas of service records.

use eel_types::{Class, Name};
use serde::{Deserialize, Serialize};

use super::Schema;
use crate::{Protocol, Route, ServiceSpec};

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_QUEUE: u32 = 32;
const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
const DEFAULT_FIRST_TOKEN_MS: u64 = 340;
const DEFAULT_BETWEEN_TOKENS_MS: u64 = 31;

/// Schema 1: all fields at the top level.
#[derive(Serialize, Deserialize)]
pub struct ServiceV1 {
    pool: Name,
    protocol: Protocol,
    #[serde(default)]
    model: Option<Name>,
    #[serde(default = "interactive")]
    class: Class,
    #[serde(default = "timeout_ms")]
    timeout_ms: u64,
    #[serde(default = "slots")]
    slots: u32,
    #[serde(default = "queue")]
    max_queue: u32,
    #[serde(default = "max_body_bytes")]
    max_body_bytes: u64,
    #[serde(default = "first_token_ms")]
    first_token_ms: u64,
    #[serde(default = "between_tokens_ms")]
    between_tokens_ms: u64,
    #[serde(default)]
    repeatable: Option<bool>,
    #[serde(default)]
    routes: Vec<Route>,
}

/// Schema 2: latency objectives and limits are grouped.
#[derive(Serialize, Deserialize)]
pub struct ServiceV2 {
    pool: Name,
    protocol: Protocol,
    #[serde(default)]
    model: Option<Name>,
    #[serde(default = "interactive")]
    class: Class,
    #[serde(default)]
    repeatable: Option<bool>,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    latency: LatencyV2,
    #[serde(default)]
    limits: LimitsV2,
}

#[derive(Serialize, Deserialize)]
#[serde(default)]
struct LatencyV2 {
    first_token_ms: u64,
    between_tokens_ms: u64,
}

impl Default for LatencyV2 {
    fn default() -> Self {
        Self {
            first_token_ms: DEFAULT_FIRST_TOKEN_MS,
            between_tokens_ms: DEFAULT_BETWEEN_TOKENS_MS,
        }
    }
}

#[derive(Serialize, Deserialize)]
#[serde(default)]
struct LimitsV2 {
    slots: u32,
    queue: u32,
    max_body_bytes: u64,
    timeout_ms: u64,
}

impl Default for LimitsV2 {
    fn default() -> Self {
        Self {
            slots: DEFAULT_SLOTS,
            queue: DEFAULT_QUEUE,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            timeout_ms: DEFAULT_TIMEOUT_MS,
        }
    }
}

impl Schema for ServiceV1 {
    type Current = ServiceSpec;

    fn upgrade(self) -> ServiceSpec {
        ServiceSpec {
            pool: self.pool,
            protocol: self.protocol,
            model: self.model,
            class: self.class,
            timeout_ms: self.timeout_ms,
            slots: self.slots,
            queue: self.max_queue,
            max_body_bytes: self.max_body_bytes,
            first_token_ms: self.first_token_ms,
            between_tokens_ms: self.between_tokens_ms,
            repeatable: repeatable_or_default(self.repeatable, self.protocol),
            routes: self.routes,
        }
    }

    fn source_path(field: &str) -> String {
        match field {
            "queue" => "max_queue".to_owned(),
            _ => field.to_owned(),
        }
    }
}

impl Schema for ServiceV2 {
    type Current = ServiceSpec;

    fn upgrade(self) -> ServiceSpec {
        ServiceSpec {
            pool: self.pool,
            protocol: self.protocol,
            model: self.model,
            class: self.class,
            timeout_ms: self.limits.timeout_ms,
            slots: self.limits.slots,
            queue: self.limits.queue,
            max_body_bytes: self.limits.max_body_bytes,
            first_token_ms: self.latency.first_token_ms,
            between_tokens_ms: self.latency.between_tokens_ms,
            repeatable: repeatable_or_default(self.repeatable, self.protocol),
            routes: self.routes,
        }
    }

    fn source_path(field: &str) -> String {
        match field {
            "slots" | "queue" | "max_body_bytes" | "timeout_ms" => format!("limits.{field}"),
            "first_token_ms" | "between_tokens_ms" => format!("latency.{field}"),
            _ => field.to_owned(),
        }
    }
}

/// Returns the default for services without an explicit value: inference may be repeated, calls of a plain service may
/// not because they can have side effects.
fn repeatable_or_default(repeatable: Option<bool>, protocol: Protocol) -> bool {
    repeatable.unwrap_or(match protocol {
        Protocol::Openai => true,
        Protocol::Plain => false,
    })
}

fn interactive() -> Class {
    Class::Interactive
}

fn timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn slots() -> u32 {
    DEFAULT_SLOTS
}

fn queue() -> u32 {
    DEFAULT_QUEUE
}

fn max_body_bytes() -> u64 {
    DEFAULT_MAX_BODY_BYTES
}

fn first_token_ms() -> u64 {
    DEFAULT_FIRST_TOKEN_MS
}

fn between_tokens_ms() -> u64 {
    DEFAULT_BETWEEN_TOKENS_MS
}
