//! Guards against the loss of fields that only a newer version knows, which happens when this version reads a record
//! and writes it back.

use eel_record::Record;
use serde_json::{Value, json};

#[test]
fn survive_a_write() {
    let value = json!({
        "schema": 3, "kind": "job", "name": "j", "colour": "red",
        "spec": { "state": "run", "later": { "deep": [1, { "x": null }] } },
        "meta": { "token": "old", "author": "someone" },
    });
    let record = Record::from_value(value.clone()).unwrap();
    let written = record
        .with_field("state", "cancelled".into())
        .with_token("new")
        .to_json();
    let mut expected = value;
    expected["spec"]["state"] = "cancelled".into();
    expected["meta"]["token"] = "new".into();
    let read: Value = serde_json::from_str(&written).unwrap();
    assert_eq!(read, expected);
}

#[test]
fn content_excludes_metadata() {
    let plain = json!({ "schema": 1, "kind": "job", "name": "j", "spec": {} });
    let record = Record::from_value(plain.clone()).unwrap();
    assert_eq!(record.token(), None);
    let stored = record.with_token("t");
    assert_eq!(stored.token(), Some("t"));
    assert_eq!(stored.content(), plain);
}
