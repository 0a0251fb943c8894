//! Batch jobs during faults of the store.
//!
//! Guards against a refused job that runs, an accepted job that is lost, and results that are listed twice.

use std::time::Duration;

use eel_platform::standin::{Behaviour, StoreFault};
use tokio::time::sleep;

use crate::fixture::{fleet, wait_until};

#[tokio::test]
async fn refused_job_never_runs() {
    let fleet = fleet(1, 1).await;
    fleet.store.set_fault(StoreFault::Refuses);
    assert_eq!(fleet.submit(0, "j1", &["stream/1"]).await, 503);
    fleet.store.set_fault(StoreFault::None);
    assert_eq!(fleet.submit(0, "j2", &["stream/1"]).await, 202);
    fleet.results(0, "j2", 1).await;
    assert_eq!(fleet.runs("j1-0"), 0);
}

#[tokio::test]
async fn refused_job_ended_meanwhile() {
    let fleet = fleet(2, 1).await;
    fleet.store.set_fault(StoreFault::Refuses);
    let url = format!("http://{}/eelgrassgap/lots/j1", fleet.nodes[1].http);
    let end = fleet.client.delete(url).send();
    let (refused, ended) = tokio::join!(fleet.submit(0, "j1", &["stream/1"]), end);
    assert_eq!(refused, 503);
    assert_eq!(ended.expect("a response").status(), 503);
    assert_eq!(fleet.submit(1, "j1", &["stream/1"]).await, 503);
    fleet.store.set_fault(StoreFault::None);
    assert_eq!(fleet.submit(0, "j2", &["stream/1"]).await, 202);
    fleet.results(0, "j2", 1).await;
    assert_eq!(fleet.runs("j1-0"), 0);
}

#[tokio::test]
async fn lost_response_may_have_run() {
    for fault in [
        StoreFault::DropsResponses,
        StoreFault::DelaysWrites { delay_ms: 400 },
        StoreFault::Silent,
    ] {
        let fleet = fleet(1, 1).await;
        fleet.store.set_fault(fault);
        let status = fleet.submit(0, "j1", &["stream/1"]).await;
        assert_eq!(status, 504, "{fault:?}");
        fleet.store.set_fault(StoreFault::None);
        assert_eq!(fleet.submit(0, "j1", &["stream/1"]).await, 202, "{fault:?}");
        assert_eq!(fleet.results(0, "j1", 1).await.len(), 1);
    }
}

#[tokio::test]
async fn refusals_after_a_lost_try() {
    // The first try is applied late; the store refuses the later ones, at this node and at the next one.
    let fleet = fleet(2, 1).await;
    fleet
        .store
        .set_fault(StoreFault::DelaysWrites { delay_ms: 2_500 });
    let refuses = async {
        sleep(Duration::from_millis(200)).await;
        fleet.store.set_fault(StoreFault::Refuses);
    };
    let (status, ()) = tokio::join!(fleet.submit(0, "j1", &["stream/1"]), refuses);
    assert_eq!(status, 504, "a try may be applied");
    assert_eq!(fleet.submit(1, "j1", &["stream/1"]).await, 503);
    fleet.store.set_fault(StoreFault::None);
    assert_eq!(fleet.submit(1, "j1", &["stream/1"]).await, 202);
    assert_eq!(fleet.results(0, "j1", 1).await.len(), 1);
}

#[tokio::test]
async fn response_lost_once() {
    let fleet = fleet(1, 1).await;
    fleet.store.set_fault(StoreFault::DropsResponses);
    let submitted = async {
        let heal = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            fleet.store.set_fault(StoreFault::None);
        };
        tokio::join!(fleet.submit(0, "j1", &["stream/1"]), heal).0
    };
    assert_eq!(submitted.await, 202, "the repeat finds the job accepted");
}

#[tokio::test]
async fn results_wait_for_the_store() {
    let fleet = fleet(1, 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    assert_eq!(fleet.submit(0, "j1", &["stream/1"]).await, 202);
    fleet.store.set_fault(StoreFault::DropsResponses);
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    wait_until("the item has run", async || fleet.runs("j1-0") > 0).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.store.set_fault(StoreFault::None);
    let results = fleet.results(0, "j1", 1).await;
    assert_eq!(
        results.len(),
        1,
        "a chunk whose response was lost is not listed again"
    );
    assert_eq!(results[0]["state"], "completed");
}

#[tokio::test]
async fn unknown_job_during_outage() {
    let fleet = fleet(1, 1).await;
    fleet.store.set_fault(StoreFault::Silent);
    let response = fleet
        .get(0, "/eelgrassgap/lots/unknown?after=0")
        .send()
        .await
        .expect("a response");
    assert_eq!(response.status().as_u16(), 503);
}

#[tokio::test]
async fn another_node_can_store() {
    // The store refuses every node here. The point is that the node does not hold the caller until its deadline.
    let fleet = fleet(1, 1).await;
    fleet.store.set_fault(StoreFault::Refuses);
    let sent = fleet
        .post(0, "/jobs/1", "j1")
        .header("x-eelgrassgap-deadline-ms", "1000");
    let body = r#"{"items": [{"id": "a", "path": "/jobs/stream/1", "body": ""}]}"#;
    let response = sent.body(body).send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn compacted_history() {
    let fleet = fleet(2, 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    assert_eq!(fleet.submit(0, "j1", &["stream/1"]).await, 202);
    fleet.store.compact();
    assert_eq!(fleet.submit(1, "j2", &["stream/1"]).await, 202);
    fleet.store.compact();
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    for job in ["j1", "j2"] {
        for node in [0, 1] {
            assert_eq!(
                fleet.results(node, job, 1).await.len(),
                1,
                "{job} at node {node}"
            );
        }
    }
}
