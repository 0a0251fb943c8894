//! Guards against chunks that no node can claim or that are dropped without need, when calls for the lease or the claim
//! take longer than the lease is relied on.
//!
//! A node drops its chunks when that time is over by its own clock. If a renewal that it sent before succeeds after that,
//! the lease lives on, and with it the claims on the dropped chunks.

use std::sync::atomic::Ordering;

use eel_standin::kv::{Faults, KvServer};

use crate::{
    fixture::{Entry, Executions, FakeHost, check_complete, executed, job_id, lines, wait_until},
    gated_store::{GatedNode, counter},
};

const ITEMS: usize = 20;
/// The time for which a lease of the fixture is relied on after a request for it.
const HOLD_MS: u64 = 1_500;

/// Starts a node with the API, which claims nothing until it has credits.
async fn start_idle(server: &KvServer, executions: &Executions) -> Entry {
    let entry = Entry::start(server, "entry-b", FakeHost::new(executions)).await;
    entry.set_credits(0);
    entry
}

/// Returns a host with credits for all items, so that none is delayed: the clock of the test does not run.
fn sends_all(executions: &Executions) -> FakeHost {
    let host = FakeHost::new(executions);
    let credits = u32::try_from(ITEMS).unwrap();
    host.credits.store(credits, Ordering::Relaxed);
    host
}

#[tokio::test]
async fn dropped_chunk_is_released() {
    for repeatable in [true, false] {
        for lost_responses in [0, 3] {
            let server = KvServer::start().await.unwrap();
            let executions = Executions::default();
            let second = start_idle(&server, &executions).await;
            let mut host = FakeHost::new(&executions);
            host.run_ms = u64::from(u32::MAX);
            let credits = host.credits.clone();
            let mut first = GatedNode::new(&server, "entry-a", host);
            first.start();
            let job = job_id(second.submit("k", lines(ITEMS), repeatable).await).await;
            wait_until(|| executed(&executions) == 8).await;
            credits.store(0, Ordering::Relaxed);
            // A renewal is sent before the lease may no longer be relied on, and succeeds after that.
            first.gates.renewals.hold_from(HOLD_MS - 100);
            first.set_clock_ms(HOLD_MS - 100);
            first.gates.renewals.reached().await;
            first.set_clock_ms(HOLD_MS + 100);
            wait_until(|| first.counter("jobs_chunks_lost") == 1).await;
            server.set_faults(Faults {
                lost_responses,
                ..Faults::default()
            });
            first.gates.renewals.open();
            second.set_credits(8);
            let renewals = server.counts().keep_alives;
            let claimed = || counter(&second.node, "jobs_chunks_claimed") == 1;
            wait_until(|| claimed() || server.counts().keep_alives > renewals + 20).await;
            assert!(claimed(), "the chunk is claimed under the renewed lease");
            let completed = check_complete(&second.results(&job).await, ITEMS);
            if repeatable {
                assert_eq!(completed, ITEMS);
            } else {
                let counts = executions.lock().unwrap().clone();
                assert!(counts.values().all(|count| *count == 1));
            }
            first.drain().await;
        }
    }
}

#[tokio::test]
async fn renewal_during_a_claim_counts() {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let second = start_idle(&server, &executions).await;
    let mut first = GatedNode::new(&server, "entry-a", sends_all(&executions));
    first.gates.claims.hold_from(0);
    first.start();
    let job = job_id(second.submit("k", lines(ITEMS), true).await).await;
    first.gates.claims.reached().await;
    // The lease is renewed while the claim is on its way. The next renewal takes long.
    first.gates.renewals.hold_from(HOLD_MS - 100);
    first.set_clock_ms(HOLD_MS - 200);
    renewed(&server).await;
    first.set_clock_ms(HOLD_MS - 100);
    first.gates.renewals.reached().await;
    first.set_clock_ms(HOLD_MS + 100);
    first.gates.claims.open();
    let done = || first.counter("jobs_chunks_done") == 1;
    wait_until(|| done() || first.counter("jobs_chunks_lost") > 0).await;
    assert!(done(), "the chunk is dropped under a renewed lease");
    first.gates.renewals.open();
    assert_eq!(check_complete(&second.results(&job).await, ITEMS), ITEMS);
    first.drain().await;
}

/// Waits until a lease was renewed that was requested after this call.
async fn renewed(server: &KvServer) {
    let renewals = server.counts().keep_alives;
    wait_until(|| server.counts().keep_alives >= renewals + 2).await;
}

#[tokio::test]
async fn lapsed_grant_is_not_used() {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let second = start_idle(&server, &executions).await;
    let job = job_id(second.submit("k", lines(ITEMS), true).await).await;
    let mut first = GatedNode::new(&server, "entry-a", sends_all(&executions));
    first.gates.grants.hold_from(0);
    first.start();
    first.gates.grants.reached().await;
    first.set_clock_ms(HOLD_MS + 100);
    first.gates.grants.open();
    let done = || first.counter("jobs_chunks_done") == 1;
    wait_until(|| done() || first.counter("jobs_chunks_lost") > 0).await;
    assert!(
        done(),
        "a chunk is claimed under a lease that is not relied on"
    );
    assert_eq!(check_complete(&second.results(&job).await, ITEMS), ITEMS);
    first.drain().await;
}
