//! The records that the test fixture declares.

use eel_store::{EtcdJson, EtcdOptions, KeyValue as _, Op, Txn};
use serde_json::{Value, json};

/// The key of the only caller.
pub const CALLER_KEY: &str = "test-key";
/// The SHA-256 digest of [`CALLER_KEY`].
const CALLER_KEY_SHA256: &str = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";

/// A service to declare.
#[derive(Clone, Copy, Debug)]
pub enum Service {
    /// `scribe`, a model engine in the pool `scribe-runners`.
    Scribe,
    /// `dispatch`, a plain service in the pool `dispatch-runners`, whose `/billing` calls are not repeatable.
    Dispatch,
}

impl Service {
    fn record(self) -> Value {
        match self {
            Self::Scribe => json!({
                "schema": 2, "kind": "service", "name": "scribe",
                "spec": {
                    "pool": "scribe-runners", "protocol": "openai", "model": "radio-scribe",
                    "latency": { "first_token_ms": 340, "between_tokens_ms": 31 },
                    "limits": { "slots": 8, "queue": 32, "timeout_ms": 30_000 },
                },
            }),
            Self::Dispatch => json!({
                "schema": 2, "kind": "service", "name": "dispatch",
                "spec": {
                    "pool": "dispatch-runners", "protocol": "plain", "class": "urgent",
                    "repeatable": true,
                    "routes": [{ "method": "POST", "path_prefix": "/billing", "repeatable": false }],
                    "latency": { "first_token_ms": 150 },
                    "limits": { "slots": 16, "queue": 64, "max_body_bytes": 65_536, "timeout_ms": 20_000 },
                },
            }),
        }
    }
}

fn model() -> Value {
    json!({
        "schema": 1, "kind": "model", "name": "radio-scribe",
        "spec": { "version": "v1", "weights": "radio-scribe/v1" },
    })
}

fn caller() -> Value {
    json!({
        "schema": 2, "kind": "caller", "name": "tester",
        "spec": {
            "keys_sha256": [CALLER_KEY_SHA256],
            "services": ["*"],
            "limits": { "rate_per_s": 10_000, "burst": 10_000, "concurrency": 1_000 },
        },
    })
}

/// Declares `services` in the store at `url`.
pub async fn put(url: &str, services: &[Service]) {
    let store = EtcdJson::new(&EtcdOptions::new(url)).expect("a client");
    let services = services.iter().map(|service| service.record());
    let records = services.chain([model(), caller()]);
    let success = records.map(|record| {
        let kind = record["kind"].as_str().unwrap_or_default();
        let name = record["name"].as_str().unwrap_or_default();
        Op::put(
            format!("/eelgrassgap/config/{kind}/{name}"),
            record.to_string(),
        )
    });
    let txn = Txn {
        success: success.collect(),
        ..Txn::default()
    };
    store.commit(&txn).await.expect("written records");
}
