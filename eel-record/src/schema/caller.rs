//! Schemas of caller records.

use eel_types::Name;
use serde::{Deserialize, Serialize};

use super::Schema;
use crate::CallerSpec;

const DEFAULT_RATE_PER_S: u32 = 50;
const DEFAULT_BURST: u32 = 100;
const DEFAULT_CONCURRENCY: u32 = 64;

/// Schema 1: a single key; the burst equals the rate per second.
#[derive(Serialize, Deserialize)]
pub struct CallerV1 {
    key_sha256: Name,
    services: Vec<Name>,
    #[serde(default = "rate_per_s")]
    rate_per_s: u32,
    #[serde(default = "concurrency")]
    concurrency: u32,
}

/// Schema 2: several keys, so that a key can be rotated without interruption; limits are grouped.
#[derive(Serialize, Deserialize)]
pub struct CallerV2 {
    keys_sha256: Vec<Name>,
    services: Vec<Name>,
    #[serde(default)]
    limits: LimitsV2,
}

#[derive(Serialize, Deserialize)]
#[serde(default)]
struct LimitsV2 {
    rate_per_s: u32,
    burst: u32,
    concurrency: u32,
}

impl Default for LimitsV2 {
    fn default() -> Self {
        Self {
            rate_per_s: DEFAULT_RATE_PER_S,
            burst: DEFAULT_BURST,
            concurrency: DEFAULT_CONCURRENCY,
        }
    }
}

impl Schema for CallerV1 {
    type Current = CallerSpec;

    fn upgrade(self) -> CallerSpec {
        CallerSpec {
            key_sha256: vec![self.key_sha256],
            services: self.services,
            rate_per_s: self.rate_per_s,
            burst: self.rate_per_s,
            concurrency: self.concurrency,
        }
    }

    fn source_path(field: &str) -> String {
        match field {
            "key_sha256[0]" => "key_sha256".to_owned(),
            "burst" => "rate_per_s".to_owned(),
            _ => field.to_owned(),
        }
    }
}

impl Schema for CallerV2 {
    type Current = CallerSpec;

    fn upgrade(self) -> CallerSpec {
        CallerSpec {
            key_sha256: self.keys_sha256,
            services: self.services,
            rate_per_s: self.limits.rate_per_s,
            burst: self.limits.burst,
            concurrency: self.limits.concurrency,
        }
    }

    fn source_path(field: &str) -> String {
        match field {
            "rate_per_s" | "burst" | "concurrency" => format!("limits.{field}"),
            _ => field.replace("key_sha256", "keys_sha256"),
        }
    }
}

fn rate_per_s() -> u32 {
    DEFAULT_RATE_PER_S
}

fn concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}
