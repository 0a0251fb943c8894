//! Tests of gateway nodes as processes: a soak test with random faults, faulty targets before one node, crowds of
//! callers that exhaust memory or descriptors, late requests while it drains, and failures that are explained from the logs.
//!
//! The soak test injects faults from outside and compares the responses that callers get with the executions that the
//! targets count.
//!
//! `seeded` runs in CI. To run other seeds by hand:
//! `SOAK_RUNS=50 SOAK_NODES=6 cargo test --test gateway -- --ignored fresh_seeds --nocapture`. It starts at the seed `SOAK_SEED`, or
//! at a random one. A seed that has failed is added to [`REGRESSIONS`].

mod caller_crowds;
mod callers;
mod crowd;
mod cut_heads;
mod early_hangup;
mod endless_bytes;
mod explained_failures;
mod false_not_run;
mod faults;
mod fixture;
mod jobs;
mod late_requests;
mod ports;
mod process;
mod proxy;
mod resumed_errors;
mod soak;
mod stream_overlap;

use std::{env, time::Duration};

use soak::Soak;

/// Seeds that run in CI, with the number of nodes.
const SEEDS: [(u64, usize); 2] = [(1, 3), (2, 4)];
/// Seeds that have failed, with the number of nodes and the cause of the failure.
const REGRESSIONS: [(u64, usize, &str); 3] = [
    (
        27_004,
        8,
        "slots stayed taken where a peer's next report no longer named the target",
    ),
    (
        4_084_767_675,
        5,
        "of the soak: both batch nodes were draining when the faults ended, and were not started again",
    ),
    (
        26_007,
        5,
        "of the soak: a crashing target sent events past the end of a resumed stream",
    ),
];
/// The time in which one run injects faults.
const FAULT_PERIOD: Duration = Duration::from_secs(8);
const DEFAULT_NODES: usize = 5;

#[tokio::test(flavor = "multi_thread")]
async fn seeded() {
    let regressions = REGRESSIONS.iter().map(|(seed, nodes, _)| (*seed, *nodes));
    for (seed, nodes) in SEEDS.into_iter().chain(regressions) {
        println!("seed {seed}, {nodes} nodes");
        Soak::start(seed, nodes).await.run(FAULT_PERIOD).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "runs for minutes; run by hand"]
async fn fresh_seeds() {
    let number = |name: &str| {
        env::var(name)
            .ok()
            .and_then(|value| value.parse::<u64>().ok())
    };
    let first = number("SOAK_SEED").unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let nodes = number("SOAK_NODES")
        .and_then(|it| usize::try_from(it).ok())
        .unwrap_or(DEFAULT_NODES);
    for seed in first..first + number("SOAK_RUNS").unwrap_or(10) {
        println!("seed {seed}, {nodes} nodes");
        Soak::start(seed, nodes).await.run(FAULT_PERIOD).await;
    }
}
