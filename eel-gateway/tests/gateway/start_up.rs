//! What a node reads before it is ready, and which results it returns after the store has compacted its history.
//!
//! Guards against a node that reads all jobs before it serves requests, and against results missed in a compaction.

use crate::fixture::fleet;

#[tokio::test]
async fn jobs_are_not_waited_for() {
    let mut fleet = fleet(1, 1).await;
    for number in 0..200 {
        fleet
            .store
            .put(&format!("eelgrassgap/jobs/old-{number:03}/head"), "x");
    }
    let before = fleet.store.read_prefixes().len();
    let front = fleet.add_node("front", false).await;
    let response = fleet
        .post(front, "/once/1", "r1")
        .send()
        .await
        .expect("a response");
    assert_eq!(
        response.status().as_u16(),
        200,
        "targets are known as soon as routes are"
    );
    let read = fleet.store.read_prefixes()[before..].to_vec();
    assert!(
        !read
            .iter()
            .any(|prefix| prefix.contains("jobs") || prefix.is_empty()),
        "{read:?}"
    );
}

#[tokio::test]
async fn existing_jobs() {
    let mut fleet = fleet(1, 2).await;
    assert_eq!(fleet.submit(0, "j1", &["stream/1", "stream/2"]).await, 202);
    let results = fleet.results(0, "j1", 2).await;
    let front = fleet.add_node("front", false).await;
    assert_eq!(fleet.results(front, "j1", 2).await, results);
}

#[tokio::test]
async fn results_missed_in_a_compaction() {
    let mut fleet = fleet(1, 2).await;
    let front = fleet.add_node("front", false).await;
    for round in 0..5 {
        let job = format!("j{round}");
        assert_eq!(
            fleet
                .submit(front, &job, &["stream/1", "stream/2", "stream/3"])
                .await,
            202
        );
        fleet.store.compact();
        let results = fleet.results(front, &job, 3).await;
        assert_eq!(fleet.results(0, &job, 3).await, results, "{job}");
    }
}
