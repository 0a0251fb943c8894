//! Entries of another writer among those of the targets.
//!
//! Guards against a process that ends, or no longer follows the other entries, because one cannot be decoded.

use eel_platform::standin::StandInTarget;
use serde_json::json;

use crate::fixture::{Fleet, fleet, wait_until};

/// Writes odd entries, whose keys come before and after those of all targets.
fn put_odd_entries(fleet: &Fleet) {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let valid = json!({
        "service": "scribe", "address": "127.0.0.1:9", "zone": "dc-a", "version": "v1", "slots": 2, "state": "ready",
        "born": 1
    });
    let with = |field: &str, value: serde_json::Value| {
        let mut entry = valid.clone();
        entry[field] = value;
        entry.to_string()
    };
    let odd = [
        nested.clone(),
        format!("{{\"service\":{nested}}}"),
        with("address", "127.0.0.1:70000".into()),
        with("address", "127.0.0.1:0".into()),
        with("slots", u64::MAX.into()),
        with("born", (-1).into()),
        with("version", "x".repeat(700_000).into()),
        "\u{0}".to_owned(),
    ];
    for prefix in ["servers/0-odd", "servers/z-odd"] {
        for (number, entry) in odd.iter().enumerate() {
            fleet.store.put(&format!("{prefix}-{number}"), entry);
        }
        fleet
            .store
            .put_unencoded(&format!("{prefix}-bytes"), "no base64 at all");
    }
    // As many slots as a number holds, in entries that are valid but for their address.
    for number in 0..3 {
        let most = with("slots", u32::MAX.into());
        fleet.store.put(&format!("servers/z-most-{number}"), &most);
    }
    fleet.store.put("eelgrassgap/nodes/odd", &nested);
    fleet
        .store
        .put_unencoded("eelgrassgap/nodes/bytes", "no base64 at all");
    fleet.store.put("eelgrassgap/origins/default/odd", &nested);
    fleet
        .store
        .put("eelgrassgap/quarantine/00000000000000aa", &nested);
}

async fn assert_served(fleet: &Fleet, target: &StandInTarget) {
    let before = target.total_runs();
    let mut number = 0;
    wait_until("the target is used", async || {
        number += 1;
        let id = format!("r{}-{number}", target.id());
        let sent = fleet.post(0, "/idempotent/1", &id).send().await;
        sent.expect("a response");
        target.total_runs() > before
    })
    .await;
}

#[tokio::test]
async fn in_the_first_read() {
    let mut fleet = fleet(0, 1).await;
    put_odd_entries(&fleet);
    fleet.add_node("node-0", true).await;
    assert_served(&fleet, &fleet.targets[0]).await;
    let later = fleet.add_target("scribe", "v1").await;
    assert_served(&fleet, &fleet.targets[later]).await;
    assert!(!fleet.nodes[0].task.is_finished());
}

#[tokio::test]
async fn in_a_watch() {
    let mut fleet = fleet(1, 1).await;
    put_odd_entries(&fleet);
    let later = fleet.add_target("scribe", "v1").await;
    assert_served(&fleet, &fleet.targets[later]).await;
    // An entry that was valid names no target any more.
    fleet.store.put_unencoded("servers/i-0", "no base64 at all");
    wait_until("only the other target is used", async || {
        let before = fleet.targets[0].total_runs();
        for number in 0..5 {
            let id = format!("again-{number}");
            let sent = fleet.post(0, "/idempotent/1", &id).send().await;
            sent.expect("a response");
        }
        fleet.targets[0].total_runs() == before
    })
    .await;
    assert!(!fleet.nodes[0].task.is_finished());
}
