//! Guards against a service, model, caller or job that changes its meaning when its record is rewritten in the other
//! schema version: equivalent records must decode to the same current form.

use eel_record::{Record, Spec, decode};
use serde_json::{Value, json};

fn spec(schema: u32, kind: &str, spec: &Value) -> Spec {
    let value = json!({ "schema": schema, "kind": kind, "name": "x", "spec": spec });
    let decoded = decode(&Record::from_value(value).unwrap());
    assert_eq!(decoded.problems, []);
    decoded.spec.unwrap()
}

#[test]
fn versions_agree() {
    let digest = "ab".repeat(32);
    let cases = [
        (
            "service",
            json!({ "pool": "p", "protocol": "plain", "max_queue": 3, "slots": 2, "first_token_ms": 9 }),
            json!({ "pool": "p", "protocol": "plain", "limits": { "queue": 3, "slots": 2 }, "latency": { "first_token_ms": 9 } }),
        ),
        (
            "service",
            json!({ "pool": "p", "protocol": "openai", "model": "m" }),
            json!({ "pool": "p", "protocol": "openai", "model": "m", "repeatable": true }),
        ),
        (
            "model",
            json!({ "version": "v", "weights": "w" }),
            json!({ "versions": [{ "name": "v", "weights": "w", "share_percent": 100 }] }),
        ),
        (
            "caller",
            json!({ "key_sha256": digest, "services": ["*"], "rate_per_s": 7, "concurrency": 2 }),
            json!({ "keys_sha256": [digest], "services": ["*"], "limits": { "rate_per_s": 7, "burst": 7, "concurrency": 2 } }),
        ),
        (
            "job",
            json!({ "caller": "c", "service": "s", "deadline_unix_s": 5, "retention_s": 2, "items_file": "f", "state": "cancelled" }),
            json!({ "caller": "c", "service": "s", "deadline_unix_ms": 5000, "retention_ms": 2000, "items_file": "f", "state": "cancelled" }),
        ),
    ];
    for (kind, first, second) in cases {
        assert_eq!(spec(1, kind, &first), spec(2, kind, &second), "{kind}");
    }
}

#[test]
fn plain_defaults_to_once() {
    let plain = json!({ "pool": "p", "protocol": "plain" });
    for schema in [1, 2] {
        let Spec::Service(service) = spec(schema, "service", &plain) else {
            panic!("not a service");
        };
        assert!(!service.repeatable, "schema {schema}");
    }
}
