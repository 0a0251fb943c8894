//! Targets that start again under their id and address at another version, and nodes that learn of it late.
//!
//! Guards against a stream or item that continues at another version because the entry of the target's earlier start is
//! still believed, at a node that is up to date or at one that is out of step with the store.

use std::time::Duration;

use eel_platform::standin::{Behaviour, StoreEntrance, StoreFault};
use reqwest::StatusCode;
use tokio::time::{sleep, timeout};

use crate::fixture::{Fleet, events, fleet, start_node, wait_until};

const PATH: &str = "/resumable-stream/1";
/// The time in which nodes learn of each other, of targets and of the default version.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
const STREAMS: usize = 8;

/// Starts targets of the given versions, a node, and one that reaches the store by an entrance of its own.
async fn fleet_of(versions: &[&str]) -> (Fleet, StoreEntrance) {
    let mut fleet = fleet(0, 0).await;
    for version in versions {
        fleet.add_target("scribe", version).await;
    }
    fleet.add_node("node-0", true).await;
    let entrance = fleet.store.open_entrance().await.expect("an entrance");
    let node = start_node(&entrance.endpoint(), "node-1", false).await;
    fleet.nodes.push(node);
    wait_until("the node is ready", async || fleet.is_ready(1).await).await;
    sleep(SETTLE_TIME).await;
    (fleet, entrance)
}

/// Starts a target again under its id and address at another version; its entry stays as it was.
async fn restart_at(fleet: &Fleet, number: usize, version: &str) {
    let target = &fleet.targets[number];
    let restarted = target.restart_in_place(version, 2).await;
    restarted.expect("a restarted target");
}

fn set_all(fleet: &Fleet, behaviour: Behaviour) {
    for target in &fleet.targets {
        target.set_default_behaviour(behaviour);
    }
}

/// Begins a stream at a node, which breaks off after its second event. Returns its id and the version that began it; `None`
/// if it was refused.
async fn begin(fleet: &Fleet, node: usize, id: &str) -> Option<(String, String)> {
    set_all(fleet, Behaviour::StallsAfter(2));
    let sent = fleet.post(node, PATH, id).send().await;
    let mut response = sent.expect("a response");
    let has_begun = response.status().is_success();
    if has_begun {
        response.chunk().await.expect("the first event");
    }
    drop(response);
    set_all(fleet, Behaviour::Responds);
    wait_until("the run has ended", async || {
        fleet.targets.iter().all(|it| it.open_requests() == 0)
    })
    .await;
    let version = fleet.versions_of(id).pop_first();
    version.filter(|_| has_begun).map(|it| (id.to_owned(), it))
}

/// Takes the stream `first` up as `id` at a node. Checks that it continues at the version `begun_at` or is refused;
/// returns whether it continues.
async fn assert_version_kept(
    fleet: &Fleet,
    node: usize,
    (first, begun_at): &(String, String),
    id: &str,
) -> bool {
    let call = fleet.post(node, PATH, id).header("last-event-id", "2");
    let response = call.header("resumes", first).send().await;
    let response = response.expect("a response");
    let status = response.status();
    drop(events(response).await);
    let versions = fleet.versions_of(id);
    let is_kept = versions.iter().all(|it| it == begun_at);
    assert!(
        is_kept,
        "{first}: begun at {begun_at}, {id} at {versions:?}"
    );
    let is_true = status == StatusCode::OK || versions.is_empty();
    assert!(is_true, "{id}: {status} after a run");
    !versions.is_empty()
}

#[tokio::test]
async fn stream_in_one_response() {
    let (fleet, _entrance) = fleet_of(&["v1", "v2"]).await;
    fleet.targets[1].set_default_behaviour(Behaviour::Full);
    fleet.targets[0].set_default_behaviour(Behaviour::StallsAfter(2));
    let sent = fleet.post(0, PATH, "r1").send().await;
    let mut response = sent.expect("a response");
    response.chunk().await.expect("the first event");
    set_all(&fleet, Behaviour::Responds);
    restart_at(&fleet, 0, "v2").await;
    let ended = timeout(Duration::from_secs(1), events(response)).await;
    assert!(ended.is_err() || ended.is_ok_and(|(_, is_whole)| !is_whole));
    assert!(!fleet.targets.iter().any(|it| it.has_resumed("r1")));
}

#[tokio::test]
async fn stream_taken_up() {
    // Neither node knows of the restart; the stream may go on at the other target of its version.
    let (fleet, _entrance) = fleet_of(&["v1", "v1", "v2"]).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        begun.extend(begin(&fleet, 0, &format!("r{number}")).await);
    }
    restart_at(&fleet, 0, "v2").await;
    let mut kept = 0;
    for stream in &begun {
        for node in 0..2 {
            let id = format!("{}-{node}", stream.0);
            kept += usize::from(assert_version_kept(&fleet, node, stream, &id).await);
        }
    }
    assert!(
        kept >= begun.len(),
        "{kept} take-ups of {} streams",
        begun.len()
    );
}

#[tokio::test]
async fn stream_begun_before_the_entry() {
    // The default version needs no record, so that no other node would learn the true one.
    let (fleet, _entrance) = fleet_of(&["v1", "v1"]).await;
    restart_at(&fleet, 0, "v2").await;
    for number in 0..STREAMS {
        let stream = begin(&fleet, 0, &format!("r{number}")).await;
        let stream = stream.expect("a stream");
        assert_version_kept(&fleet, 1, &stream, &format!("r{number}-b")).await;
    }
}

#[tokio::test]
async fn item_continued() {
    let (fleet, _entrance) = fleet_of(&["v1"]).await;
    set_all(&fleet, Behaviour::StallsAfter(2));
    assert_eq!(fleet.submit(0, "j1", &["stream/1"]).await, 202);
    wait_until("the item runs", async || fleet.runs("j1-0") > 0).await;
    sleep(Duration::from_millis(100)).await;
    set_all(&fleet, Behaviour::Responds);
    restart_at(&fleet, 0, "v2").await;
    sleep(SETTLE_TIME).await;
    assert!(!fleet.targets[0].has_resumed("j1-0"));
    fleet.targets[0].announce(&fleet.store, "ready");
    let results = fleet.results(0, "j1", 1).await;
    assert_eq!(results[0]["text"], "word1\nword2\nword3\nword4\nword5");
    assert!(!fleet.targets[0].has_resumed("j1-0"));
}

#[tokio::test]
async fn node_out_of_step() {
    // While targets of another version join and one is upgraded in its place, a node hears nothing, or nothing new.
    for fault in [
        StoreFault::Silent,
        StoreFault::Refuses,
        StoreFault::HangsWatches,
    ] {
        let (mut fleet, entrance) = fleet_of(&["v1", "v1"]).await;
        entrance.set_fault(fault);
        sleep(Duration::from_millis(500)).await;
        for _ in 0..2 {
            fleet.add_target("scribe", "v2").await;
        }
        restart_at(&fleet, 0, "v2").await;
        fleet.targets[0].announce(&fleet.store, "ready");
        sleep(SETTLE_TIME).await;
        let mut begun = Vec::new();
        for number in 0..STREAMS {
            for node in 0..2 {
                begun.extend(begin(&fleet, node, &format!("r{number}-{node}")).await);
            }
        }
        for stream in &begun {
            let id = format!("{}-b", stream.0);
            assert_version_kept(&fleet, 1, stream, &id).await;
        }
        entrance.set_fault(StoreFault::None);
        sleep(SETTLE_TIME * 2).await;
        let mut kept = 0;
        for (number, stream) in begun.iter().enumerate() {
            let id = format!("{}-c", stream.0);
            kept += usize::from(assert_version_kept(&fleet, number % 2, stream, &id).await);
        }
        let count = begun.len();
        assert!(2 * kept >= count, "{fault:?}: {kept} of {count} continued");
    }
}
