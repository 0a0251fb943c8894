//! A request that crashes each target that runs it, and comes again under new ids.
//!
//! Guards against a request that takes one target after the other down, because no node recognises it when it comes again,
//! and against sound requests that are rejected for it, or for targets that end for another cause.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use eel_platform::standin::{Behaviour, CrashPoint, StandInTarget, StoreFault};
use futures_util::future::{join_all, select};
use reqwest::Response;
use serde_json::json;
use tokio::time::sleep;

use crate::fixture::{Fleet, events, fleet, wait_until};

const NODES: usize = 4;
/// The targets of a service, three of which a request may crash before it is recognised.
const TARGETS: usize = 3;
const CRASHES: u32 = 3;
/// The time from the third crash until every node has to know the request.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How often the request may still reach a target after that.
const MAX_REACHING: u32 = 3;
const REQUEST_PAUSE: Duration = Duration::from_millis(150);
const LATER_REQUESTS: usize = 40;
/// The time in which nodes learn of each other and of restarted targets.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// In this time a request that is rejected gets its response.
const REJECTION_TIME: Duration = Duration::from_millis(500);

const FATAL: &str = "the fatal body";
const SOUND: &str = "another body";
const POINTS: [CrashPoint; 2] = [
    CrashPoint::BeforeHead(Duration::from_millis(60)),
    CrashPoint::AfterEvents(1),
];

struct Calls {
    fleet: Fleet,
    sent: AtomicUsize,
}

async fn calls(targets: usize, point: CrashPoint) -> Calls {
    let fleet = fleet(NODES, targets).await;
    for target in &fleet.targets {
        target.set_fatal_body(FATAL, point);
    }
    sleep(SETTLE_TIME).await;
    let sent = AtomicUsize::new(0);
    Calls { fleet, sent }
}

impl Calls {
    /// Sends a request under a new id.
    async fn send(&self, node: usize, path: &str, body: &'static str) -> Response {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let request = self
            .fleet
            .post(node % NODES, path, &format!("r{number}"))
            .header("x-eelgrassgap-deadline-ms", (1_500 + number).to_string())
            .header("x-eelgrassgap-length-hint", number.to_string());
        request.body(body).send().await.expect("a response")
    }

    /// Returns whether a request is served with its whole response.
    async fn is_served(&self, node: usize, path: &str, body: &'static str) -> bool {
        let response = self.send(node, path, body).await;
        let is_success = response.status().is_success();
        if path.contains("stream") {
            events(response).await.1 && is_success
        } else {
            response.text().await.is_ok_and(|it| it == body) && is_success
        }
    }

    /// Sends the request to one node after the other until three targets have crashed, and for the contact time after that.
    async fn crash_targets(&self, path: &str) {
        let mut found: Option<Instant> = None;
        for number in 0.. {
            self.is_served(number, path, FATAL).await;
            sleep(REQUEST_PAUSE).await;
            if found.is_none() && self.fleet.crashes() >= CRASHES {
                found = Some(Instant::now());
            }
            if found.is_some_and(|at| at.elapsed() >= CONTACT_TIME) {
                return;
            }
            assert!(number < 200, "{path}: {} crashes", self.fleet.crashes());
        }
    }

    fn reached(&self) -> u32 {
        let targets = self.fleet.targets.iter();
        targets.map(StandInTarget::fatal_requests).sum()
    }

    /// Sends the request again and again and checks that it hardly reaches targets.
    async fn assert_kept_from_targets(&self, name: &str, path: &str) {
        let before = self.reached();
        for number in 0..LATER_REQUESTS {
            let sent = Instant::now();
            let status = self.send(number, path, FATAL).await.status().as_u16();
            // What is not sent to a target is rejected at once, and has not run.
            let is_rejected = status == 503 && sent.elapsed() < REJECTION_TIME;
            assert!(
                is_rejected || self.reached() > before,
                "{name}: {status} after {:?}",
                sent.elapsed()
            );
            sleep(REQUEST_PAUSE).await;
        }
        let more = self.reached() - before;
        println!("{name}: {before} at first, then {more}");
        assert!(
            more <= MAX_REACHING,
            "{name}: {before} at first, then {more}"
        );
    }

    async fn assert_sound_are_served(&self, name: &str, path: &str) {
        wait_until("all targets are up", async || {
            !self.fleet.targets.iter().any(StandInTarget::is_down)
        })
        .await;
        sleep(SETTLE_TIME).await;
        for number in 0..2 * NODES {
            assert!(
                self.is_served(number, path, SOUND).await,
                "{name}: {number}"
            );
        }
    }
}

#[tokio::test]
async fn reaches_no_more_targets() {
    let paths = [
        "/idempotent/1",
        "/once/1",
        "/once-stream/1",
        "/resumable-stream/1",
    ];
    let cases = paths
        .iter()
        .flat_map(|path| POINTS.map(|point| (*path, point)));
    join_all(cases.map(async |(path, point)| {
        let name = format!("{path}, {point:?}");
        let calls = calls(TARGETS, point).await;
        calls
            .fleet
            .with_restarts(async {
                calls.crash_targets(path).await;
                calls.assert_kept_from_targets(&name, path).await;
                calls.assert_sound_are_served(&name, path).await;
            })
            .await;
    }))
    .await;
}

#[tokio::test]
async fn sent_to_all_nodes_at_once() {
    let path = "/idempotent/1";
    let calls = calls(2 * TARGETS, POINTS[0]).await;
    calls
        .fleet
        .with_restarts(async {
            wait_until("three targets have crashed", async || {
                join_all((0..NODES).map(|node| calls.is_served(node, path, FATAL))).await;
                calls.fleet.crashes() >= CRASHES
            })
            .await;
            let until = Instant::now() + CONTACT_TIME;
            while Instant::now() < until {
                join_all((0..NODES).map(|node| calls.is_served(node, path, FATAL))).await;
                sleep(REQUEST_PAUSE).await;
            }
            calls.assert_kept_from_targets("at once", path).await;
            calls.assert_sound_are_served("at once", path).await;
        })
        .await;
}

#[tokio::test]
async fn sound_ones_beside_it_are_served() {
    let path = "/idempotent/1";
    let calls = calls(TARGETS, POINTS[0]).await;
    for target in &calls.fleet.targets {
        let pause = Duration::from_millis(100);
        target.set_default_behaviour(Behaviour::PausesBeforeHead(pause));
    }
    calls
        .fleet
        .with_restarts(async {
            let sound = join_all((0..NODES).map(async |node| {
                loop {
                    calls.is_served(node, path, SOUND).await;
                }
            }));
            let fatal = async {
                calls.crash_targets(path).await;
                calls.assert_kept_from_targets("beside", path).await;
            };
            select(Box::pin(sound), Box::pin(fatal)).await;
            calls.assert_sound_are_served("beside", path).await;
        })
        .await;
}

#[tokio::test]
async fn requests_that_share_its_parts_are_served() {
    let path = "/resumable-stream/1";
    let calls = calls(2 * TARGETS, CrashPoint::AfterEvents(0)).await;
    let send = async |number: usize, body: &'static str| {
        let request = calls
            .fleet
            .post(number % NODES, path, &format!("p{number}"));
        let parts = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
        let request = request.header("x-eelgrassgap-prefix-hash", parts);
        let response = request.body(body).send().await.expect("a response");
        response.status().is_success() && events(response).await.1
    };
    calls
        .fleet
        .with_restarts(async {
            for number in 0..LATER_REQUESTS {
                send(number, FATAL).await;
                sleep(REQUEST_PAUSE).await;
            }
            let reached = calls.reached();
            assert!(reached <= CRASHES + MAX_REACHING, "{reached}");
            calls.assert_sound_are_served("parts", path).await;
            for number in 0..2 * NODES {
                assert!(send(100 + number, SOUND).await, "{number}");
            }
        })
        .await;
}

#[tokio::test]
async fn restarted_nodes_remember_it() {
    let path = "/idempotent/1";
    for fault in [StoreFault::None, StoreFault::Refuses] {
        let mut calls = calls(TARGETS, POINTS[0]).await;
        calls.fleet.store.set_fault(fault);
        calls
            .fleet
            .with_restarts(async {
                calls.crash_targets(path).await;
                calls.fleet.store.set_fault(StoreFault::None);
                sleep(CONTACT_TIME).await;
                let name = format!("{fault:?}");
                calls.assert_sound_are_served(&name, path).await;
            })
            .await;
        calls.fleet.restart_nodes().await;
        sleep(SETTLE_TIME).await;
        let name = format!("restarted, {fault:?}");
        let again = calls.assert_kept_from_targets(&name, path);
        calls.fleet.with_restarts(again).await;
    }
}

#[tokio::test]
async fn harmless_one_goes_on() {
    let path = "/idempotent/1";
    let pause = Duration::from_millis(200);
    let calls = calls(4, POINTS[0]).await;
    for target in &calls.fleet.targets {
        target.set_default_behaviour(Behaviour::PausesBeforeHead(pause));
    }
    calls
        .fleet
        .with_restarts(async {
            let repeat = join_all((0..NODES).map(async |node| {
                loop {
                    calls.is_served(node, path, SOUND).await;
                }
            }));
            // Targets end one by one and all at once, whatever they run.
            let crash = async {
                for round in 0..6 {
                    for target in &calls.fleet.targets {
                        target.crash();
                        if round % 2 == 0 {
                            sleep(pause).await;
                        }
                    }
                    sleep(2 * SETTLE_TIME).await;
                }
            };
            select(Box::pin(repeat), Box::pin(crash)).await;
            calls.assert_sound_are_served("harmless", path).await;
        })
        .await;
}

#[tokio::test]
async fn items_are_owed() {
    const ITEMS: usize = 6;
    let calls = calls(1, POINTS[0]).await;
    let target = &calls.fleet.targets[0];
    target.set_default_behaviour(Behaviour::PausesAfter(0, Duration::from_millis(300)));
    calls
        .fleet
        .with_restarts(async {
            let items: Vec<_> = (0..ITEMS)
                .map(|number| (format!("/jobs/stream/{number}"), json!({})))
                .collect();
            let status = calls.fleet.submit_items("jobs", 0, "j1", &items).await;
            assert_eq!(status, 202);
            // Each item is under more crashes than a request that is blamed.
            for _ in 0..8 {
                wait_until("items run", async || target.open_requests() > 1).await;
                sleep(Duration::from_millis(100)).await;
                target.crash();
                wait_until("the target is back", async || !target.is_down()).await;
            }
            calls.fleet.results(0, "j1", ITEMS).await;
        })
        .await;
}
