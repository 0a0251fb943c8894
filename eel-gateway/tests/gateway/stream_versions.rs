//! Streams while targets of several software versions serve.
//!
//! Guards against a stream that holds events of two versions: what two versions write does not fit together, and neither
//! targets nor callers notice.

use std::{collections::BTreeSet, time::Duration};

use eel_origin::OriginRecord;
use eel_platform::standin::{Behaviour, StoreFault};
use eel_store::{KeyValue as _, Op, RangeRequest, Txn};
use futures_util::future::join_all;
use reqwest::{Response, StatusCode};
use tokio::time::timeout;

use crate::fixture::{Fleet, events, fleet, wait_until};

use Behaviour::{DisconnectsAfter, PausesAfter, Responds, StallsAfter};

const PATH: &str = "/resumable-stream/1";

/// Starts one node and two targets of each version.
async fn fleet_of(versions: &[&str]) -> Fleet {
    let mut fleet = fleet(0, 0).await;
    for version in versions {
        fleet.add_target("scribe", version).await;
        fleet.add_target("scribe", version).await;
    }
    fleet.add_node("node-0", true).await;
    fleet
}

fn set_all(fleet: &Fleet, behaviour: Behaviour) {
    for target in &fleet.targets {
        target.set_default_behaviour(behaviour);
    }
}

/// Starts a stream and returns it once its first event has arrived.
async fn begin(fleet: &Fleet, path: &str, id: &str) -> Response {
    let mut response = fleet.post(0, path, id).send().await.expect("a response");
    assert_eq!(response.status(), StatusCode::OK, "{id}");
    response.chunk().await.expect("the first event");
    response
}

/// Starts streams that break off after two events, and returns their ids.
async fn broken_streams(fleet: &Fleet, path: &str, name: &str, count: u32) -> Vec<String> {
    set_all(fleet, StallsAfter(2));
    let mut ids = Vec::new();
    for number in 0..count {
        let id = format!("{name}-{number}");
        // Its slot is free at once, before the node tries another target beside the stalled one.
        drop(begin(fleet, path, &id).await);
        ids.push(id);
    }
    set_all(fleet, Responds);
    wait_until("all runs have ended", async || {
        fleet
            .targets
            .iter()
            .all(|target| target.open_requests() == 0)
    })
    .await;
    ids
}

/// Takes up the stream that began as `first`, after its second event.
async fn take_up(fleet: &Fleet, path: &str, first: &str, id: &str) -> Response {
    let call = fleet.post(0, path, id).header("last-event-id", "2");
    let call = call.header("resumes", first);
    call.send().await.expect("a response")
}

/// Checks that the stream `first` continues as `id` at the version that began it.
async fn assert_continues(fleet: &Fleet, path: &str, first: &str, id: &str) {
    let response = take_up(fleet, path, first, id).await;
    assert_eq!(response.status(), StatusCode::OK, "{first}");
    assert_eq!(events(response).await, (vec![3, 4, 5], true), "{first}");
    assert_eq!(fleet.versions_of(id), fleet.versions_of(first), "{first}");
}

/// Checks that the stream `id` was continued at the version that began it, if it was; before its first event it may begin
/// again at any version.
fn assert_continued_at_one_version(fleet: &Fleet, id: &str) {
    let is_continued = fleet.targets.iter().any(|target| target.has_resumed(id));
    let versions = fleet.versions_of(id);
    assert!(!is_continued || versions.len() == 1, "{id}: {versions:?}");
}

#[tokio::test]
async fn two_versions_in_one_response() {
    let fleet = fleet_of(&["v1", "v2"]).await;
    set_all(&fleet, DisconnectsAfter(2));
    for number in 0..12 {
        let id = format!("r{number}");
        let sent = fleet.post(0, PATH, &id).send().await;
        events(sent.expect("a response")).await;
        assert_continued_at_one_version(&fleet, &id);
    }
}

#[tokio::test]
async fn other_version_beside_a_silent_target() {
    let fleet = fleet_of(&["v1", "v2"]).await;
    set_all(&fleet, PausesAfter(2, Duration::from_millis(600)));
    for number in 0..6 {
        let id = format!("r{number}");
        let sent = fleet.post(0, PATH, &id).send().await;
        events(sent.expect("a response")).await;
        assert_continued_at_one_version(&fleet, &id);
    }
}

#[tokio::test]
async fn no_version_left_for_a_broken_stream() {
    // The stream must not wait for its deadline, 3 s after its start, when nothing can continue it.
    let mut fleet = fleet(1, 1).await;
    fleet.targets[0].set_default_behaviour(StallsAfter(2));
    let response = begin(&fleet, PATH, "r1").await;
    fleet.add_target("scribe", "v2").await;
    fleet.store.remove("servers/i-0");
    fleet.targets[0].crash();
    let ended = timeout(Duration::from_secs(2), events(response)).await;
    let (_, is_whole) = ended.expect("the stream ends at once");
    assert!(!is_whole);
    assert_eq!(fleet.targets[1].total_runs(), 0);
}

#[tokio::test]
async fn taken_up_at_another_version() {
    let fleet = fleet_of(&["v1", "v2"]).await;
    let ids = broken_streams(&fleet, PATH, "first", 8).await;
    let versions: BTreeSet<String> = ids.iter().flat_map(|id| fleet.versions_of(id)).collect();
    assert_eq!(versions.len(), 2, "both versions begin streams");
    for id in &ids {
        assert_continues(&fleet, PATH, id, &format!("{id}-b")).await;
    }
}

#[tokio::test]
async fn taken_up_at_nodes_without_memory() {
    for versions in [&["v1", "v2"][..], &["v1", "v2", "v3"], &["v2", "v1"]] {
        let mut fleet = fleet_of(versions).await;
        let ids = broken_streams(&fleet, PATH, "first", 8).await;
        fleet.replace_nodes().await;
        for id in &ids {
            assert_continues(&fleet, PATH, id, &format!("{id}-b")).await;
        }
        // Clients name the attempt that brought the first event, however often they take the stream up.
        fleet.replace_nodes().await;
        for id in &ids {
            assert_continues(&fleet, PATH, id, &format!("{id}-c")).await;
        }
    }
}

/// Replaces the records of all streams by those that nodes would have written whose clock is an hour behind.
async fn write_an_hour_behind(fleet: &Fleet) {
    let store = fleet.store_client();
    let request = RangeRequest::prefix("eelgrassgap/origins/streams/");
    let mut txn = Txn::default();
    for pair in store.range(&request).await.expect("records").kvs {
        let mut record = OriginRecord::decode(&pair.value).expect("a record");
        record.written_unix_ms -= 3_600_000;
        let value = record.encode().expect("a value");
        txn.success.push(Op::put(pair.key, value));
    }
    assert!(!txn.success.is_empty());
    store.commit(&txn).await.expect("the records are written");
}

#[tokio::test]
async fn begun_with_a_wrong_clock() {
    let mut fleet = fleet_of(&["v1", "v2"]).await;
    let ids = broken_streams(&fleet, PATH, "first", 8).await;
    fleet.replace_nodes().await;
    write_an_hour_behind(&fleet).await;
    for id in &ids {
        assert_continues(&fleet, PATH, id, &format!("{id}-b")).await;
    }
}

#[tokio::test]
async fn taken_up_after_a_release() {
    // The targets that began the streams have been replaced, by those of the newer version or of the older one.
    for (before, after) in [("v1", "v2"), ("v2", "v1")] {
        let mut fleet = fleet_of(&[before]).await;
        let ids = broken_streams(&fleet, PATH, "first", 4).await;
        for _ in 0..2 {
            fleet.add_target("scribe", after).await;
        }
        for gone in ["servers/i-0", "servers/i-1"] {
            fleet.store.remove(gone);
        }
        fleet.replace_nodes().await;
        for id in &ids {
            let response = take_up(&fleet, PATH, id, &format!("{id}-b")).await;
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{id}");
            assert_eq!(fleet.runs(&format!("{id}-b")), 0, "{id}");
        }
        // New streams begin at the other version and are known by it.
        let later = broken_streams(&fleet, PATH, "later", 4).await;
        fleet.replace_nodes().await;
        for id in &later {
            assert_continues(&fleet, PATH, id, &format!("{id}-c")).await;
        }
    }
}

#[tokio::test]
async fn taken_up_without_an_origin() {
    let fleet = fleet_of(&["v1", "v2"]).await;
    broken_streams(&fleet, PATH, "first", 8).await;
    let call = fleet.post(0, PATH, "r1").header("last-event-id", "2");
    let response = call.send().await.expect("a response");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.runs("r1"), 0);
}

#[tokio::test]
async fn taken_up_without_an_origin_at_one_version() {
    let fleet = fleet_of(&["v1"]).await;
    broken_streams(&fleet, PATH, "first", 4).await;
    wait_until("a stream of the only version continues", async || {
        let call = fleet.post(0, PATH, "r1").header("last-event-id", "2");
        let response = call.send().await.expect("a response");
        response.status() == StatusCode::OK && events(response).await == (vec![3, 4, 5], true)
    })
    .await;
}

#[tokio::test]
async fn taken_up_at_another_service() {
    let mut fleet = fleet(0, 0).await;
    for service in ["scribe", "quill"] {
        fleet.add_target(service, "v1").await;
        fleet.add_target(service, "v1").await;
    }
    fleet.add_node("node-0", true).await;
    let path = "/split-stream/1";
    let ids = broken_streams(&fleet, path, "first", 6).await;
    let runs_at_first = |id: &str| (0..2).map(|it| fleet.targets[it].runs(id)).sum::<u32>();
    for id in &ids {
        let next = format!("{id}-b");
        let response = take_up(&fleet, path, id, &next).await;
        assert_eq!(events(response).await, (vec![3, 4, 5], true));
        assert_eq!(runs_at_first(id), runs_at_first(&next), "{id}");
    }
}

#[tokio::test]
async fn store_away_during_a_take_up() {
    let mut fleet = fleet_of(&["v1", "v2"]).await;
    let ids = broken_streams(&fleet, PATH, "first", 8).await;
    fleet.replace_nodes().await;
    fleet.store.set_fault(StoreFault::Refuses);
    let mut refused = 0;
    for id in &ids {
        let next = format!("{id}-b");
        let response = take_up(&fleet, PATH, id, &next).await;
        refused += u32::from(response.status() == StatusCode::SERVICE_UNAVAILABLE);
        drop(response);
        let versions = fleet.versions_of(&next);
        assert!(
            versions.is_empty() || versions == fleet.versions_of(id),
            "{id}"
        );
    }
    assert!(refused > 0, "a version that nothing tells is not guessed");
}

#[tokio::test]
async fn many_taken_up_at_few_targets() {
    // The two slots of the version take the streams in turn; each one lasts some 20 ms.
    let mut fleet = fleet(0, 0).await;
    for version in ["v1", "v2", "v2", "v2"] {
        fleet.add_target("scribe", version).await;
    }
    fleet.add_node("node-0", true).await;
    let ids = broken_streams(&fleet, PATH, "first", 8).await;
    let first_version = fleet.targets[0].version();
    let ids: Vec<&String> = ids
        .iter()
        .filter(|id| fleet.versions_of(id).contains(&first_version))
        .collect();
    let fleet = &fleet;
    let calls = ids.iter().flat_map(|id| {
        (0..5).map(move |number| async move {
            let response = take_up(fleet, PATH, id, &format!("{id}-{number}")).await;
            response.status()
        })
    });
    let statuses = join_all(calls).await;
    assert!(statuses.len() >= 5, "{statuses:?}");
    assert!(
        statuses.iter().all(|it| *it == StatusCode::OK),
        "{statuses:?}"
    );
}

#[tokio::test]
async fn one_version_needs_no_records() {
    let fleet = fleet_of(&["v1"]).await;
    wait_until("the service has a default version", async || {
        !fleet.store.keys("eelgrassgap/origins/default/").is_empty()
    })
    .await;
    // The node learns of it from the store.
    let streams = async || fleet.store.keys("eelgrassgap/origins/streams/").len();
    let mut number = 0;
    wait_until("streams begin without a record", async || {
        let before = streams().await;
        number += 1;
        let ids = broken_streams(&fleet, PATH, &format!("r{number}"), 4).await;
        assert_continues(&fleet, PATH, &ids[0], &format!("{}-b", ids[0])).await;
        streams().await == before
    })
    .await;
}

#[tokio::test]
async fn records_of_ended_nodes_are_removed() {
    let mut fleet = fleet_of(&["v1", "v2"]).await;
    // A record without streams, written in 1970.
    let left = "eelgrassgap/origins/streams/ended/0000000000000001-00000000";
    fleet.store.put(left, "\0\0");
    let ids = broken_streams(&fleet, PATH, "first", 1).await;
    fleet.replace_nodes().await;
    assert_continues(&fleet, PATH, &ids[0], "first-b").await;
    wait_until("the record is removed", async || {
        fleet.store.keys(left).is_empty()
    })
    .await;
}
