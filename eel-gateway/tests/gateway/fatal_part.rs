//! Requests that share a part of their prompt on which every target crashes that responds to them.
//!
//! Guards against a part that takes one target after the other down, which happens when no node finds out what the
//! requests have in common, tells its peers or remembers it, and against sound requests that are rejected with them,
//! which happens when a part is blamed that only stood beside the fatal one, or for a crash or a reset with another cause,
//! and against items that wait for good because no request that could end the block comes.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use eel_platform::standin::{
    Behaviour, Cut, Ending, Framing, HOST, RawResponse, StandInTarget, StoreFault,
};
use futures_util::future::{join_all, select};
use reqwest::Response;
use serde_json::json;
use tokio::time::sleep;

use crate::fixture::{Fleet, events, fleet, raw_fleet, wait_until};

const NODES: usize = 4;
const TARGETS: usize = 12;
/// The number of crashes from which on the part counts as found.
const CRASHES: u32 = 5;
/// The time from the last of these crashes until every node has to know the part.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How many requests with the part may still reach targets after that.
const MAX_REACHING: u32 = 3;
/// The number of requests with the part sent before the part counts as found if fewer targets crash.
const MAX_FIRST_REQUESTS: usize = 40;
/// The number of requests with the part sent after that.
const LATER_REQUESTS: usize = 40;
const REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// The time in which nodes learn of each other and of restarted targets.
const SETTLE_TIME: Duration = Duration::from_secs(1);

const FIRST_PART: &str = "5c1e07a2:800";
const FATAL_PART: &str = "91bd3f06:410";
const OTHER_PART: &str = "7a10cc54:120";
const PATHS: [&str; 4] = [
    "/idempotent/1",
    "/resumable-stream/1",
    "/once/1",
    "/once-stream/1",
];
const STREAM_PATHS: [&str; 2] = ["/resumable-stream/1", "/once-stream/1"];
const REPEATABLE_PATHS: [&str; 2] = ["/idempotent/1", "/resumable-stream/1"];

#[derive(Clone, Copy, PartialEq, Eq)]
enum Prompt {
    Sound,
    Fatal,
}

impl Prompt {
    /// Returns the parts of a prompt, whose last one belongs to request `number` alone.
    fn parts(self, number: usize) -> String {
        let own = format!("{:08x}:250", 0xe440_0000 + number);
        match self {
            Self::Sound => format!("{FIRST_PART},{OTHER_PART},{own}"),
            Self::Fatal => format!("{FIRST_PART},{FATAL_PART},{OTHER_PART},{own}"),
        }
    }
}

/// The outcome of a request for its caller.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    status: u16,
    is_whole: bool,
}

/// A response with status 200 that is complete.
const SERVED: Outcome = Outcome {
    status: 200,
    is_whole: true,
};

struct Calls {
    fleet: Fleet,
    sent: AtomicUsize,
}

/// Starts a fleet whose targets crash on the part after `events` events.
async fn calls(events: u64) -> Calls {
    let fleet = fleet(NODES, TARGETS).await;
    let (id, _tokens) = FATAL_PART.split_once(':').expect("an id and a length");
    for target in &fleet.targets {
        target.set_fatal_part(id, events);
    }
    sleep(SETTLE_TIME).await;
    let sent = AtomicUsize::new(0);
    Calls { fleet, sent }
}

impl Calls {
    /// Sends a request that no other one equals to the node `number` in turn.
    async fn send(&self, number: usize, path: &str, prompt: Prompt) -> Outcome {
        let id = self.sent.fetch_add(1, Ordering::Relaxed);
        let body = format!("body of {id}");
        let request = self
            .fleet
            .post(number % NODES, path, &format!("r{id}"))
            .header("x-eelgrassgap-prefix-hash", prompt.parts(id))
            .body(body.clone());
        let response = request.send().await.expect("a response");
        let status = response.status().as_u16();
        let is_whole = is_whole(response, path, &body).await;
        Outcome { status, is_whole }
    }

    /// Sends `count` requests with the part to all nodes in turn.
    async fn send_fatal(&self, count: usize) {
        for number in 0..count {
            self.send(number, PATHS[number % PATHS.len()], Prompt::Fatal)
                .await;
            sleep(REQUEST_PAUSE).await;
        }
    }

    /// Sends requests with the part to all nodes in turn, among sound ones, until [`CRASHES`] targets have crashed.
    async fn crash_targets(&self) {
        let crashes = async {
            for number in 0..MAX_FIRST_REQUESTS {
                if self.fleet.crashes() >= CRASHES {
                    break;
                }
                self.send(number, PATHS[number % PATHS.len()], Prompt::Fatal)
                    .await;
                sleep(REQUEST_PAUSE).await;
            }
        };
        let sound = join_all((0..NODES).map(async |node| {
            loop {
                for path in REPEATABLE_PATHS {
                    self.send(node, path, Prompt::Sound).await;
                }
            }
        }));
        select(Box::pin(crashes), Box::pin(sound)).await;
        println!("{} targets crashed at first", self.fleet.crashes());
    }

    /// Lets targets crash until the part counts as found, runs `then`, and waits until all targets are up again.
    async fn find_part(&self, then: impl AsyncFnOnce()) {
        self.fleet
            .with_restarts(async {
                self.crash_targets().await;
                sleep(CONTACT_TIME).await;
                then().await;
                self.all_targets_are_up().await;
            })
            .await;
    }

    async fn all_targets_are_up(&self) {
        wait_until("all targets are up", async || {
            !self.fleet.targets.iter().any(StandInTarget::is_down)
        })
        .await;
        sleep(SETTLE_TIME).await;
    }

    /// Returns how many requests with the part have reached targets.
    fn reached(&self) -> u32 {
        let targets = self.fleet.targets.iter();
        targets.map(StandInTarget::fatal_requests).sum()
    }

    /// Checks that hardly any request with the part has reached a target since `before` had.
    fn assert_few_reached_since(&self, before: u32) {
        let more = self.reached() - before;
        println!("{before} requests with the part reached targets at first, then {more}");
        assert!(
            more <= MAX_REACHING,
            "{more} more requests with the part reached targets, {} targets crashed",
            self.fleet.crashes()
        );
    }

    /// Restarts all nodes and checks that hardly any request with the part reaches a target from then on.
    async fn assert_restarted_nodes_remember(&mut self) {
        let before = self.reached();
        self.fleet.restart_nodes().await;
        sleep(SETTLE_TIME).await;
        self.fleet
            .with_restarts(async {
                self.send_fatal(LATER_REQUESTS).await;
                self.assert_few_reached_since(before);
                self.assert_sound_are_served(NODES * PATHS.len()).await;
            })
            .await;
    }

    /// Checks that sound requests on all paths are served by all nodes.
    async fn assert_sound_are_served(&self, count: usize) {
        for number in 0..count {
            let path = PATHS[number / NODES % PATHS.len()];
            let outcome = self.send(number, path, Prompt::Sound).await;
            assert_eq!(outcome, SERVED, "sound request {number} to {path}");
        }
    }
}

async fn is_whole(response: Response, path: &str, sent: &str) -> bool {
    if path.contains("stream") {
        events(response).await == (vec![1, 2, 3, 4, 5], true)
    } else {
        response.text().await.is_ok_and(|body| body == sent)
    }
}

#[tokio::test]
async fn fatal_part_stops_reaching_targets() {
    for events in [0, 2] {
        let calls = calls(events).await;
        calls
            .fleet
            .with_restarts(async {
                calls.crash_targets().await;
                sleep(CONTACT_TIME).await;
                let before = calls.reached();
                calls.send_fatal(LATER_REQUESTS).await;
                calls.assert_few_reached_since(before);
            })
            .await;
    }
}

#[tokio::test]
async fn sound_requests_that_share_other_parts_are_served() {
    let calls = calls(0).await;
    calls
        .fleet
        .with_restarts(async {
            calls.crash_targets().await;
            sleep(CONTACT_TIME).await;
            let mut outcomes = Vec::new();
            for number in 0..LATER_REQUESTS {
                let path = PATHS[number / NODES % PATHS.len()];
                calls.send(number, path, Prompt::Fatal).await;
                sleep(REQUEST_PAUSE).await;
                outcomes.push(calls.send(number, path, Prompt::Sound).await);
            }
            let failed = outcomes.iter().filter(|&it| *it != SERVED).count();
            let count = outcomes.len();
            assert_eq!(failed, 0, "of {count} sound requests: {outcomes:?}");
        })
        .await;
}

#[tokio::test]
async fn restarted_node_remembers_the_part() {
    let mut calls = calls(0).await;
    calls.find_part(async || {}).await;
    calls.assert_restarted_nodes_remember().await;
}

#[tokio::test]
async fn store_outage_does_not_hide_the_part() {
    for fault in [StoreFault::Refuses, StoreFault::Silent] {
        let calls = calls(0).await;
        calls.fleet.store.set_fault(fault);
        calls
            .fleet
            .with_restarts(async {
                calls.crash_targets().await;
                sleep(CONTACT_TIME).await;
                let before = calls.reached();
                calls.send_fatal(LATER_REQUESTS).await;
                calls.assert_few_reached_since(before);
                calls.fleet.store.set_fault(StoreFault::None);
                sleep(CONTACT_TIME).await;
                calls.all_targets_are_up().await;
                calls.send_fatal(LATER_REQUESTS).await;
                calls.assert_few_reached_since(before);
                calls.assert_sound_are_served(NODES * PATHS.len()).await;
            })
            .await;
    }
}

#[tokio::test]
async fn restarted_node_remembers_a_part_found_in_an_outage() {
    let mut calls = calls(0).await;
    calls.fleet.store.set_fault(StoreFault::Refuses);
    calls
        .find_part(async || {
            calls.fleet.store.set_fault(StoreFault::None);
            sleep(CONTACT_TIME).await;
        })
        .await;
    calls.assert_restarted_nodes_remember().await;
}

#[tokio::test]
async fn ordinary_crashes_blame_no_part() {
    const CRASHING: usize = 4;
    const REQUESTS: usize = 24;
    let pause = Duration::from_millis(500);
    let calls = calls(0).await;
    for (number, target) in calls.fleet.targets.iter().enumerate() {
        target.set_default_behaviour(match number % 3 {
            0 => Behaviour::PausesBeforeHead(pause),
            1 => Behaviour::PausesAfter(0, pause),
            _ => Behaviour::PausesAfter(2, pause),
        });
    }
    calls
        .fleet
        .with_restarts(async {
            for round in 0..2 {
                let requests = join_all((0..REQUESTS).map(async |number| {
                    let path = STREAM_PATHS[number / NODES % STREAM_PATHS.len()];
                    calls.send(number, path, Prompt::Sound).await
                }));
                let crash = async {
                    let targets = &calls.fleet.targets;
                    wait_until("targets run requests", async || {
                        let busy = targets.iter().filter(|it| it.open_requests() > 0);
                        busy.count() >= CRASHING
                    })
                    .await;
                    let busy = targets.iter().filter(|it| it.open_requests() > 0);
                    for target in busy.take(CRASHING) {
                        target.crash();
                    }
                };
                let (outcomes, ()) = tokio::join!(requests, crash);
                let failed = outcomes.iter().filter(|&it| *it != SERVED).count();
                println!("round {round}: {failed} of {REQUESTS} requests failed");
                calls.all_targets_are_up().await;
            }
        })
        .await;
    for target in &calls.fleet.targets {
        target.set_default_behaviour(Behaviour::Responds);
    }
    sleep(CONTACT_TIME).await;
    calls.assert_sound_are_served(LATER_REQUESTS).await;
}

#[tokio::test]
async fn reset_connections_blame_no_part() {
    let calls = calls(0).await;
    for events in 0..2 {
        for target in &calls.fleet.targets {
            target.set_default_behaviour(Behaviour::DisconnectsAfter(events));
        }
        for number in 0..LATER_REQUESTS {
            let path = PATHS[number / NODES % PATHS.len()];
            calls.send(number, path, Prompt::Sound).await;
        }
    }
    for target in &calls.fleet.targets {
        target.set_default_behaviour(Behaviour::Responds);
    }
    sleep(CONTACT_TIME).await;
    calls.assert_sound_are_served(LATER_REQUESTS).await;
}

#[tokio::test]
async fn tcp_resets_blame_no_part() {
    const REQUESTS: usize = 20;
    let resets = [Cut::Empty, Cut::BetweenEvents].map(|cut| RawResponse {
        framing: Framing::Chunks,
        cut,
        ending: Ending::Reset,
    });
    let script: Vec<RawResponse> = resets.into_iter().cycle().take(REQUESTS).collect();
    let raw = raw_fleet(&script).await;
    let send = async |number: usize| {
        let path = "/once-stream/1";
        let parts = Prompt::Sound.parts(number);
        let request = raw.fleet.post(0, path, &format!("r{number}"));
        let request = request.header("x-eelgrassgap-prefix-hash", parts);
        let response = request.send().await.expect("a response");
        let status = response.status().as_u16();
        let is_whole = is_whole(response, path, "").await;
        Outcome { status, is_whole }
    };
    // Targets that reset connections get no requests for a while.
    let mut count = 0;
    wait_until("all resets are done and a request is served", async || {
        count += 1;
        send(count).await == SERVED
    })
    .await;
    assert!(count > REQUESTS, "each reset broke a request");
    sleep(CONTACT_TIME).await;
    for number in count + 1..=count + REQUESTS {
        assert_eq!(send(number).await, SERVED, "request {number}");
    }
}

#[tokio::test]
async fn items_with_the_part() {
    const ITEMS: usize = 30;
    let prompt = |number: usize| match number % 3 {
        0 => Prompt::Fatal,
        _ => Prompt::Sound,
    };
    let calls = calls(0).await;
    let submit = async |node: usize, job: &str| {
        let items: Vec<_> = (0..ITEMS)
            .map(|number| {
                let id = calls.sent.fetch_add(1, Ordering::Relaxed);
                let headers = json!({"x-eelgrassgap-prefix-hash": prompt(number).parts(id)});
                (format!("/jobs/stream/{id}"), headers)
            })
            .collect();
        let status = calls.fleet.submit_items("jobs", node, job, &items).await;
        assert_eq!(status, 202);
    };
    calls
        .fleet
        .with_restarts(async {
            submit(0, "j1").await;
            wait_until("targets crash or the items have ended", async || {
                calls.fleet.crashes() >= CRASHES
                    || calls.fleet.results_now(0, "j1").await.len() == ITEMS
            })
            .await;
            sleep(CONTACT_TIME).await;
            let before = calls.reached();
            submit(1, "j2").await;
            let sound = (0..ITEMS).filter(|&number| prompt(number) == Prompt::Sound);
            let sound: Vec<String> = sound.map(|number| format!("j2-{number}")).collect();
            let mut results = Vec::new();
            wait_until("the sound items have ended", async || {
                results = calls.fleet.results_now(1, "j2").await;
                let has_ended = |id: &String| results.iter().any(|it| it["id"] == **id);
                sound.iter().all(has_ended)
            })
            .await;
            calls.assert_few_reached_since(before);
            for id in sound {
                let result = results.iter().find(|it| it["id"] == *id);
                let state = result.map(|it| it["state"].clone());
                assert_eq!(state, Some("completed".into()), "{id}");
            }
        })
        .await;
}

/// Submits a job whose items share the part `FIRST_PART`, and crashes one target after the other as they begin.
async fn crash_as_items_begin(fleet: &Fleet, job: &str, items: usize) {
    for target in &fleet.targets {
        target.set_default_behaviour(Behaviour::PausesBeforeHead(Duration::from_secs(2)));
    }
    assert_eq!(submit_sharing(fleet, job, items).await, 202);
    wait_until("all targets run items", async || {
        fleet.targets.iter().all(|it| it.open_requests() > 0)
    })
    .await;
    for target in &fleet.targets {
        target.crash();
        sleep(REQUEST_PAUSE * 2).await;
    }
    for target in &fleet.targets {
        target.set_default_behaviour(Behaviour::Responds);
    }
}

async fn submit_sharing(fleet: &Fleet, job: &str, items: usize) -> u16 {
    submit_sharing_to("jobs", fleet, job, items).await
}

async fn submit_sharing_to(route: &str, fleet: &Fleet, job: &str, items: usize) -> u16 {
    let items: Vec<_> = (0..items)
        .map(|number| {
            let parts = format!("{FIRST_PART},{:08x}:250", 0xe440_0000 + number);
            (
                format!("/{route}/stream/{number}"),
                json!({"x-eelgrassgap-prefix-hash": parts}),
            )
        })
        .collect();
    fleet.submit_items(route, 0, job, &items).await
}

async fn assert_completed(fleet: &Fleet, job: &str, items: usize) {
    let results = fleet.results(0, job, items).await;
    for result in results {
        assert_eq!(result["state"], "completed", "{result}");
    }
}

#[tokio::test]
async fn ordinary_crashes_strand_no_items() {
    const ITEMS: usize = 6;
    let fleet = fleet(2, 3).await;
    sleep(SETTLE_TIME).await;
    fleet
        .with_restarts(async {
            crash_as_items_begin(&fleet, "j1", ITEMS).await;
            assert_completed(&fleet, "j1", ITEMS).await;
            assert_eq!(submit_sharing(&fleet, "j2", ITEMS).await, 202);
            assert_completed(&fleet, "j2", ITEMS).await;
        })
        .await;
}

#[tokio::test]
async fn restarted_nodes_strand_no_items() {
    const ITEMS: usize = 6;
    let mut fleet = fleet(2, 3).await;
    sleep(SETTLE_TIME).await;
    fleet
        .with_restarts(async {
            crash_as_items_begin(&fleet, "j1", ITEMS).await;
            wait_until("all targets are up", async || {
                !fleet.targets.iter().any(StandInTarget::is_down)
            })
            .await;
        })
        .await;
    fleet.restart_nodes().await;
    assert_completed(&fleet, "j1", ITEMS).await;
}

#[tokio::test]
async fn job_ended_in_a_trial_strands_no_items() {
    const ITEMS: usize = 6;
    let fleet = fleet(2, 3).await;
    sleep(SETTLE_TIME).await;
    fleet
        .with_restarts(async {
            crash_as_items_begin(&fleet, "j1", ITEMS).await;
            for target in &fleet.targets {
                target.set_default_behaviour(Behaviour::PausesBeforeHead(Duration::from_secs(1)));
            }
            assert_eq!(submit_sharing(&fleet, "j2", ITEMS).await, 202);
            wait_until("an item is tried", async || {
                fleet.targets.iter().any(|it| it.open_requests() > 0)
            })
            .await;
            let url = format!("http://{}/eelgrassgap/lots/j1", fleet.nodes[0].http);
            let ended = fleet.client.delete(url).header("host", HOST).send().await;
            assert!(ended.is_ok_and(|it| it.status().is_success()));
            assert_completed(&fleet, "j2", ITEMS).await;
        })
        .await;
}

#[tokio::test]
async fn item_without_targets_delays_no_trial() {
    const ITEMS: usize = 6;
    let fleet = fleet(1, 3).await;
    sleep(SETTLE_TIME).await;
    fleet
        .with_restarts(async {
            assert_eq!(
                submit_sharing_to("other-jobs", &fleet, "due-first", 1).await,
                202
            );
            crash_as_items_begin(&fleet, "j1", ITEMS).await;
            assert_completed(&fleet, "j1", ITEMS).await;
        })
        .await;
}
