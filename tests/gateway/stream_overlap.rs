//! How long two targets work on one stream after it has continued at the second one, while its node gets little processor
//! time. The bound of the rule is [`MAX_OVERLAP`].

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use eel_platform::standin::{Behaviour, StandInTarget};
use nix::sys::signal::Signal;
use tokio::time::sleep;

use crate::fixture::Fixture;

/// How long two targets may work on one request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
const STREAMS: usize = 12;
/// The period in which a node's processor time is granted.
const PERIOD: Duration = Duration::from_millis(130);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Returns for how long both targets had the request, from the start of its second run.
async fn overlap(targets: &[StandInTarget], id: &str) -> Duration {
    let runs = || targets.iter().filter(|target| target.runs(id) > 0).count();
    let set = |behaviour| {
        let set = |target: &StandInTarget| target.set_default_behaviour(behaviour);
        targets.iter().for_each(set);
    };
    set(Behaviour::StallsAfter(3));
    while runs() == 0 {
        sleep(POLL_INTERVAL).await;
    }
    // The second target has no head in time, so that the node keeps both for as long as it may.
    set(Behaviour::Silent);
    while runs() < 2 {
        sleep(POLL_INTERVAL).await;
    }
    let started = Instant::now();
    while targets.iter().all(|target| target.open_requests() > 0) {
        sleep(POLL_INTERVAL).await;
    }
    started.elapsed()
}

/// Measures the overlap of streams while the node runs for a share of each period.
async fn measure(share: f64) -> Vec<Duration> {
    let mut fixture = Fixture::start().await;
    let mut targets = Vec::new();
    for id in ["i-0", "i-1"] {
        let target = StandInTarget::start("scribe", id).await;
        let target = target.expect("a target");
        target.announce(&fixture.store, "ready");
        targets.push(target);
    }
    fixture.wait_served().await;
    let requests: Vec<_> = (0..STREAMS)
        .map(|number| fixture.post("/resumable-stream/1", &format!("r{number}")))
        .collect();
    let ends = AtomicBool::new(false);
    let throttle = async {
        while share < 1.0 && !ends.load(Ordering::Relaxed) {
            fixture.node.signal(Signal::SIGCONT);
            sleep(PERIOD.mul_f64(share)).await;
            fixture.node.signal(Signal::SIGSTOP);
            sleep(PERIOD.mul_f64(1.0 - share)).await;
        }
        fixture.node.signal(Signal::SIGCONT);
    };
    let streams = async {
        let mut overlaps = Vec::new();
        for (number, request) in requests.into_iter().enumerate() {
            let caller = tokio::spawn(request.send());
            overlaps.push(overlap(&targets, &format!("r{number}")).await);
            caller.abort();
            while targets.iter().any(|target| target.open_requests() > 0) {
                sleep(POLL_INTERVAL).await;
            }
            // The targets are used again after a while.
            sleep(Duration::from_millis(2_500)).await;
        }
        ends.store(true, Ordering::Relaxed);
        overlaps
    };
    tokio::join!(throttle, streams).1
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "measures times; run by hand"]
async fn under_little_processor_time() {
    for share in [1.0, 0.2, 0.1] {
        let mut overlaps = measure(share).await;
        overlaps.sort();
        println!("share {share}: {overlaps:?}");
        let longest = overlaps.last().expect("an overlap");
        assert!(*longest <= MAX_OVERLAP, "share {share}: {longest:?}");
    }
}
