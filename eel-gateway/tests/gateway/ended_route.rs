//! Items whose route is removed from the manifest, or comes back.
//!
//! Guards against items that are neither run nor listed once no route leads to a service, and against items that are errored
//! although their route comes back, moves, or is not known to their node yet.

use std::time::Duration;

use eel_platform::standin::{Behaviour, HOST, StoreFault, routes};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::fixture::{Fleet, fleet, wait_until};

/// The number of items of a job, more than the targets have slots.
const ITEMS: usize = 5;
/// Shorter than the time after which an item without a route is errored.
const SHORT_TIME: Duration = Duration::from_secs(3);
/// Longer than that.
const LONG_TIME: Duration = Duration::from_secs(7);

/// Writes a manifest in which `change` has changed the routes.
fn put_routes(fleet: &Fleet, version: u64, change: impl FnOnce(&mut Vec<Value>)) {
    let mut manifest = routes(version);
    change(manifest["routes"].as_array_mut().expect("routes"));
    fleet.store.put("op/config", &manifest.to_string());
}

fn remove_jobs(routes: &mut Vec<Value>) {
    routes.retain(|it| it["name"] != "jobs");
}

/// Starts a fleet with a job of [`ITEMS`] items, two of which run until the target is released.
async fn busy_fleet(nodes: usize) -> Fleet {
    let fleet = fleet(nodes, 1).await;
    let pause = Duration::from_secs(1);
    fleet.targets[0].set_default_behaviour(Behaviour::PausesBeforeHead(pause));
    assert_eq!(fleet.submit(0, "j1", &["stream/1"; ITEMS]).await, 202);
    wait_until("two items run", async || {
        fleet.targets[0].open_requests() == 2
    })
    .await;
    fleet
}

fn count(results: &[Value], state: &str) -> usize {
    results.iter().filter(|it| it["state"] == state).count()
}

/// Waits until all items are listed; returns how many are completed. Errored items must not have run.
async fn completed(fleet: &Fleet) -> usize {
    let results = fleet.results(0, "j1", ITEMS).await;
    for result in results.iter().filter(|it| it["state"] == "errored") {
        assert_eq!(fleet.runs(result["id"].as_str().expect("an id")), 0);
    }
    assert_eq!(results.len(), ITEMS);
    count(&results, "completed")
}

#[tokio::test]
async fn removed_route() {
    let fleet = busy_fleet(2).await;
    put_routes(&fleet, 2, remove_jobs);
    assert_eq!(completed(&fleet).await, 2, "the runs in flight end");
    let body = fleet.get(1, "/eelgrassgap/items/j1?id=j1-4").send().await;
    assert_eq!(body.expect("a response").status(), 404);
    assert_eq!(fleet.results(1, "j1", ITEMS).await.len(), ITEMS);
    let url = format!("http://{}/eelgrassgap/lots/j1", fleet.nodes[1].http);
    let ended = fleet.client.delete(url).header("host", HOST).send().await;
    assert_eq!(ended.expect("a response").status(), 200);
    let errored = fleet.metrics(0).await + &fleet.metrics(1).await;
    assert!(errored.contains("route_ended"), "{errored}");
}

#[tokio::test]
async fn node_lost_before_listing() {
    let mut fleet = busy_fleet(1).await;
    put_routes(&fleet, 2, remove_jobs);
    sleep(SHORT_TIME).await;
    fleet.replace_nodes().await;
    assert_eq!(completed(&fleet).await, 2);
}

#[tokio::test]
async fn route_that_comes_back() {
    let fleet = busy_fleet(2).await;
    put_routes(&fleet, 2, remove_jobs);
    sleep(SHORT_TIME).await;
    put_routes(&fleet, 3, |_| ());
    assert_eq!(completed(&fleet).await, ITEMS);
}

#[tokio::test]
async fn moved_routes() {
    // A shorter prefix that covers the items, and a split of which one service has no target.
    let shorter = |it: &mut Value| it["pathPrefix"] = "/".into();
    let split = |it: &mut Value| {
        it["trafficSplit"] =
            json!([{"service": "quill", "weight": 99}, {"service": "scribe", "weight": 1}]);
    };
    for change in [shorter, split] {
        let fleet = busy_fleet(1).await;
        put_routes(&fleet, 2, |routes| {
            let jobs = routes.iter_mut().find(|it| it["name"] == "jobs");
            change(jobs.expect("the route"));
        });
        assert_eq!(completed(&fleet).await, ITEMS);
    }
}

#[tokio::test]
async fn removed_before_an_outage() {
    // What the manifest says while the store is away is not known; here, the route is back.
    let fleet = busy_fleet(2).await;
    put_routes(&fleet, 2, remove_jobs);
    sleep(Duration::from_secs(1)).await;
    fleet.store.set_fault(StoreFault::Refuses);
    sleep(Duration::from_millis(200)).await;
    put_routes(&fleet, 3, |_| ());
    sleep(LONG_TIME).await;
    fleet.store.set_fault(StoreFault::None);
    assert_eq!(completed(&fleet).await, ITEMS);
}

#[tokio::test]
async fn route_that_is_not_known_yet() {
    // The manifest of the route is written after the job, as a node sees it that follows late.
    let fleet = fleet(1, 1).await;
    put_routes(&fleet, 2, remove_jobs);
    sleep(Duration::from_secs(1)).await;
    let head = eel_ledger::JobHead {
        host: HOST.into(),
        submitted_unix_ms: 0,
        due_unix_ms: 60_000,
        give_up_unix_ms: 60_000,
        max_attempts: 2,
        items: 0,
        parts: 0,
        tenant: None,
    };
    let item = crate::fixture::stored_item("j1", &[]);
    fleet.store_job("j1", head, &[item]).await;
    sleep(SHORT_TIME).await;
    put_routes(&fleet, 3, |_| ());
    assert_eq!(fleet.results(0, "j1", 1).await[0]["state"], "completed");
}
