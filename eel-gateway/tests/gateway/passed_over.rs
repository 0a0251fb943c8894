//! Items that wait, before others of their job that can run.
//!
//! Guards against an item that cannot start and holds up the items behind it, although these go to another service or may
//! run at another version, and against one that is forgotten once others have passed it.

use std::collections::BTreeSet;

use eel_platform::standin::{Behaviour, routes};
use serde_json::{Value, json};

use crate::fixture::{Fleet, fleet, wait_until};

/// The number of items of a job, some of which go to each service of a split route.
const ITEMS: usize = 20;

/// Writes a manifest whose batch route `jobs` is split between two services.
fn split_jobs(fleet: &Fleet, version: u64) {
    let mut manifest = routes(version);
    let routes = manifest["routes"].as_array_mut().expect("routes");
    let jobs = routes.iter_mut().find(|it| it["name"] == "jobs");
    jobs.expect("the route")["trafficSplit"] =
        json!([{"service": "scribe", "weight": 60}, {"service": "quill", "weight": 40}]);
    fleet.store.put("op/config", &manifest.to_string());
}

fn states(results: &[Value]) -> BTreeSet<&str> {
    let states = results.iter().filter_map(|it| it["state"].as_str());
    states.collect()
}

#[tokio::test]
async fn share_without_targets() {
    let fleet = fleet(2, 2).await;
    split_jobs(&fleet, 2);
    let paths = ["stream/1"; ITEMS];
    wait_until("the split is in force", async || {
        let metrics = fleet.metrics(0).await + &fleet.metrics(1).await;
        metrics.matches("route_table_version 2").count() == 2
    })
    .await;
    assert_eq!(fleet.submit(0, "j1", &paths).await, 202);
    let results = fleet.results(1, "j1", ITEMS).await;
    assert_eq!(states(&results), BTreeSet::from(["completed"]));
}

#[tokio::test]
async fn item_of_another_route() {
    let mut fleet = fleet(1, 1).await;
    let waiting = ("/other-jobs/stream/1".to_owned(), json!({}));
    let mut items = vec![("/jobs/stream/1".to_owned(), json!({})); 3];
    items.insert(0, waiting);
    assert_eq!(fleet.submit_items("jobs", 0, "j1", &items).await, 202);
    let results = fleet.results(0, "j1", 3).await;
    let mut ids: Vec<_> = results.iter().filter_map(|it| it["id"].as_str()).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["j1-1", "j1-2", "j1-3"]);
    // It is not forgotten, by another node either.
    fleet.replace_nodes().await;
    fleet.add_target("quill", "v1").await;
    let results = fleet.results(0, "j1", 4).await;
    assert_eq!(states(&results), BTreeSet::from(["completed"]));
}

#[tokio::test]
async fn item_that_waits_for_its_version() {
    let mut fleet = fleet(1, 0).await;
    let first = fleet.add_target("scribe", "v1").await;
    fleet.targets[first].set_default_behaviour(Behaviour::StallsAfter(3));
    assert_eq!(fleet.submit(0, "j1", &["stream/1"; 4]).await, 202);
    wait_until("two items run", async || {
        fleet.runs("j1-0") > 0 && fleet.runs("j1-1") > 0
    })
    .await;
    // One of the two is interrupted, and has to wait for a slot of its version.
    let target = &fleet.targets[first];
    let entry = json!({
        "service": "scribe", "address": target.address(), "zone": "dc-a", "version": "v1", "slots": 1, "state": "ready",
        "coldLeftMs": 0, "callSeq": 2, "born": 1
    });
    fleet.store.put("servers/i-0", &entry.to_string());
    wait_until("one of them waits", async || {
        fleet.targets[first].open_requests() == 1
    })
    .await;
    fleet.add_target("scribe", "v2").await;
    let results = fleet.results(0, "j1", 2).await;
    let ids: BTreeSet<_> = results.iter().filter_map(|it| it["id"].as_str()).collect();
    assert_eq!(ids, BTreeSet::from(["j1-2", "j1-3"]));
    fleet.targets[first].set_default_behaviour(Behaviour::Responds);
    let results = fleet.results(0, "j1", 4).await;
    assert_eq!(states(&results), BTreeSet::from(["completed"]));
    assert!(!fleet.targets[first].resumed_after().is_empty());
}
