//! Targets that drain or are replaced, and invalid or outdated documents of targets and routes.
//!
//! Guards against requests to a target that drains or to another process at its former address, which happen when a
//! node does not follow the store, and against wrong routes, which happen when an invalid or older document replaces
//! the routes in force.

use eel_platform::standin::routes;

use crate::fixture::{fleet, wait_until};

#[tokio::test]
async fn draining_target() {
    let fleet = fleet(1, 2).await;
    fleet.targets[0].announce(&fleet.store, "draining");
    wait_until("only the other target is used", async || {
        let before = fleet.targets[0].total_runs();
        for number in 0..5 {
            fleet
                .post(0, "/idempotent/1", &format!("r{number}"))
                .send()
                .await
                .expect("a response");
        }
        fleet.targets[0].total_runs() == before
    })
    .await;
}

#[tokio::test]
async fn another_target_at_the_address() {
    let fleet = fleet(1, 1).await;
    // The entry has another id than the process at its address, which refuses requests with status 421.
    let entry = serde_json::json!({
        "service": "scribe", "address": fleet.targets[0].address(), "zone": "dc-a", "slots": 2, "state": "ready"
    });
    fleet.store.put("servers/i-other", &entry.to_string());
    fleet.store.remove("servers/i-0");
    wait_until("the requests are refused", async || {
        let response = fleet
            .post(0, "/once/1", "r1")
            .send()
            .await
            .expect("a response");
        response.status().as_u16() == 503
    })
    .await;
}

#[tokio::test]
async fn invalid_entries() {
    let fleet = fleet(1, 1).await;
    for (number, entry) in ["", "{}", "\u{1}", r#"{"service": 1}"#].iter().enumerate() {
        fleet.store.put(&format!("servers/foreign-{number}"), entry);
    }
    fleet.store.put("op/config", "no routes at all");
    fleet.store.put("op/config", &routes(2).to_string());
    for number in 0..5 {
        let response = fleet
            .post(0, "/once/1", &format!("r{number}"))
            .send()
            .await
            .expect("a response");
        assert_eq!(response.status().as_u16(), 200);
    }
}

#[tokio::test]
async fn routes_never_go_back() {
    let fleet = fleet(1, 1).await;
    let mut newer = routes(9);
    newer["routes"][0]["pathPrefix"] = "/moved/".into();
    fleet.store.put("op/config", &newer.to_string());
    let status = async |path: &str| {
        fleet
            .post(0, path, "r1")
            .send()
            .await
            .expect("a response")
            .status()
            .as_u16()
    };
    wait_until("the new routes are in force", async || {
        status("/moved/1").await == 200
    })
    .await;
    fleet.store.put("op/config", &routes(8).to_string());
    fleet.store.put("servers/marker", "");
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    assert_eq!(status("/idempotent/1").await, 404);
    assert_eq!(status("/moved/1").await, 200);
}
