//! Faulty targets that run each request and then respond as if they had not.
//!
//! Guards against a caller that is told "not run" for a request that has run, and against a request that runs once more at
//! another target, which happen when a response without the proof counts as one.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use eel_platform::standin::{FalseRefusal, FalseTarget, RefusalTime};
use reqwest::StatusCode;

use crate::fixture::{Fixture, PATHS};

const ID: &str = "x-eelgrassgap-attempt-id: {id}";
const OTHER_ID: &str = "x-eelgrassgap-attempt-id: 77aa";
const SIGNED: &str = "x-eelgrassgap-response-seal: 3e1b";
const NOT_RUN: &str = "x-eelgrassgap-not-executed: 1";
const KEPT: &str = "keep-alive: timeout=10";
const EVENTS: &str = "content-type: text/event-stream";

/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// How many requests of each kind are sent to targets that close connections.
const CLOSES: u32 = 20;
/// Longer than a body that a target reads at once.
const LONG_BODY_BYTES: usize = 90_000;

/// Sends requests of each kind to targets that respond with each of `refusals`; returns what broke a rule.
async fn broken_rules(refusals: &[FalseRefusal]) -> Vec<String> {
    let first = *refusals.first().expect("a refusal");
    let refusal = Arc::new(Mutex::new(first));
    let (fixture, targets) = start(&refusal).await;
    let mut broken = Vec::new();
    for (number, case) in refusals.iter().enumerate() {
        *refusal.lock().expect("the refusal") = *case;
        for path in PATHS {
            let id = format!("r{number}{}", path.replace('/', "-"));
            let (status, runs) = send_until_run(&fixture, &targets, path, &id).await;
            let is_repeatable = path.starts_with("/idempotent") || path.starts_with("/resumable");
            if PROMISES.contains(&status) || (runs > 1 && !is_repeatable) {
                broken.push(format!("{case:?} {path}: {status} after {runs} runs"));
            }
        }
    }
    broken
}

/// Starts one node before two targets that share `refusal`.
async fn start(refusal: &Arc<Mutex<FalseRefusal>>) -> (Fixture, Vec<FalseTarget>) {
    let fixture = Fixture::start().await;
    let mut targets = Vec::new();
    for id in ["i-0", "i-1"] {
        let target = FalseTarget::start(&fixture.store, id, refusal.clone()).await;
        targets.push(target.expect("a target"));
    }
    (fixture, targets)
}

/// Sends requests until one has run; returns its status, and how often it ran.
async fn send_until_run(
    fixture: &Fixture,
    targets: &[FalseTarget],
    path: &str,
    id: &str,
) -> (u16, u32) {
    let attempt = async |id: &str| {
        let request = fixture.post(path, id).body(vec![b'x'; LONG_BODY_BYTES]);
        let status = match request.send().await {
            Ok(response) => response.status(),
            Err(error) if error.is_connect() => StatusCode::SERVICE_UNAVAILABLE,
            Err(error) => panic!("{id}: {error}, {}", fixture.node.log_tail()),
        };
        let runs = targets.iter().map(|target| target.runs(id)).sum();
        (runs > 0).then_some((status.as_u16(), runs))
    };
    fixture.retry(id, attempt).await
}

const fn refusal(status: u16, lines: &'static [&'static str]) -> FalseRefusal {
    FalseRefusal {
        status,
        lines,
        time: RefusalTime::Response,
    }
}

async fn assert_promises_hold(refusals: &[FalseRefusal]) {
    let broken = broken_rules(refusals).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn promising_status_without_proof() {
    let mut cases = Vec::new();
    for status in [503, 429, 408] {
        cases.push(refusal(status, &[ID, KEPT]));
        cases.push(refusal(status, &[ID, SIGNED, KEPT]));
        cases.push(refusal(status, &[ID, SIGNED, EVENTS]));
    }
    cases.push(refusal(503, &[ID, SIGNED, "connection: close"]));
    cases.push(refusal(503, &[ID, SIGNED, "retry-after: 0"]));
    assert_promises_hold(&cases).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn misdirection_without_proof() {
    let cases = [
        refusal(421, &[ID, KEPT]),
        refusal(421, &[ID, SIGNED, KEPT]),
        refusal(421, &[KEPT]),
    ];
    assert_promises_hold(&cases).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn proof_in_a_success() {
    let cases = [
        refusal(200, &[ID, NOT_RUN]),
        refusal(200, &[ID, NOT_RUN, SIGNED, EVENTS]),
        refusal(204, &[ID, NOT_RUN, SIGNED]),
        refusal(302, &[ID, NOT_RUN, "location: /elsewhere"]),
    ];
    assert_promises_hold(&cases).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn proof_for_no_request() {
    let mut cases = Vec::new();
    for time in [RefusalTime::Response, RefusalTime::Head] {
        for lines in [
            &[NOT_RUN, KEPT][..],
            &[NOT_RUN, "x-eelgrassgap-attempt-id: "],
            &[NOT_RUN, OTHER_ID, KEPT],
            &[NOT_RUN, ID, OTHER_ID],
        ] {
            cases.push(FalseRefusal {
                status: 503,
                lines,
                time,
            });
        }
    }
    cases.push(refusal(421, &[NOT_RUN]));
    cases.push(refusal(400, &[NOT_RUN]));
    assert_promises_hold(&cases).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_connections() {
    // The idle times end before, while and after the next request is written.
    for idle_us in [0, 200, 500, 1_000, 2_000, 5_000, 1_000_000] {
        let closes = FalseRefusal {
            status: 0,
            lines: &[],
            time: RefusalTime::Closes(Duration::from_micros(idle_us)),
        };
        let (fixture, targets) = start(&Arc::new(Mutex::new(closes))).await;
        for number in 0..CLOSES {
            for path in ["/once/1", "/once-stream/1"] {
                let id = format!("r{number}{}", path.replace('/', "-"));
                let (status, runs) = send_until_run(&fixture, &targets, path, &id).await;
                let is_true = !PROMISES.contains(&status) && runs == 1;
                assert!(is_true, "{idle_us} us, {id}: {status} after {runs} runs");
            }
        }
    }
}
