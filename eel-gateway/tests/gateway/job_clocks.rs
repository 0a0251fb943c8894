//! Jobs that were accepted by a node whose clock is wrong.
//!
//! Guards against an item that is given up, or whose run is cut off, before its time has passed, and against one that is
//! kept for as long as the clocks differ.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eel_ledger::JobHead;
use eel_platform::standin::{Behaviour, HOST};
use tokio::time::sleep;

use crate::fixture::{Fleet, fleet, stored_item};

/// Stores a job of one item as a node would whose clock differs by `clock_error_ms`; returns when.
async fn accept(fleet: &Fleet, id: &str, clock_error_ms: i64, give_up_ms: u64) -> Instant {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.expect("a time after 1970").as_millis();
    let now_unix_ms = u64::try_from(now_ms).expect("a time in ms");
    let submitted_unix_ms = now_unix_ms.saturating_add_signed(clock_error_ms);
    let head = JobHead {
        host: HOST.into(),
        submitted_unix_ms,
        due_unix_ms: submitted_unix_ms + give_up_ms,
        give_up_unix_ms: submitted_unix_ms + give_up_ms,
        max_attempts: u32::MAX,
        items: 0,
        parts: 0,
        tenant: None,
    };
    let accepted = Instant::now();
    fleet.store_job(id, head, &[stored_item(id, &[])]).await;
    accepted
}

#[tokio::test]
async fn never_given_up_early() {
    for behaviour in [Behaviour::Full, Behaviour::Silent, Behaviour::Fails] {
        let fleet = fleet(2, 1).await;
        fleet.targets[0].set_default_behaviour(behaviour);
        for clock_error_ms in [-10_000, -3_500, 0, 100_000] {
            let id = format!("j{clock_error_ms}");
            let accepted = accept(&fleet, &id, clock_error_ms, 1_000).await;
            let results = fleet.results(0, &id, 1).await;
            let case = format!("{behaviour:?}, clock differs by {clock_error_ms} ms");
            assert_eq!(results[0]["state"], "errored", "{case}");
            let after = accepted.elapsed();
            assert!(after >= Duration::from_secs(1), "{case}: after {after:?}");
        }
    }
}

#[tokio::test]
async fn busy_for_a_moment() {
    let fleet = fleet(2, 1).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    accept(&fleet, "j1", -100_000, 60_000).await;
    sleep(Duration::from_secs(1)).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    let results = fleet.results(0, "j1", 1).await;
    assert_eq!(results[0]["state"], "completed");
}

#[tokio::test]
async fn run_has_its_time() {
    let fleet = fleet(1, 1).await;
    let pause = Duration::from_millis(500);
    fleet.targets[0].set_default_behaviour(Behaviour::PausesBeforeHead(pause));
    // By the wrong clock its time passed a second ago.
    accept(&fleet, "j1", -61_000, 60_000).await;
    assert_eq!(fleet.results(0, "j1", 1).await[0]["state"], "completed");
}
