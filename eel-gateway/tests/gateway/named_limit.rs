//! Targets that name the rate of requests that they take from all nodes together.
//!
//! Guards against nodes that send such a target more than it takes, because they do not read the limit, keep it one by one
//! without regard to their number, or go round it with one kind of request.

use std::time::{Duration, Instant};

use eel_platform::standin::{Behaviour, StandInTarget};
use futures_util::future::{join, join_all};
use tokio::time::sleep;

use crate::fixture::{Fleet, events, fleet};

const NODES: usize = 4;
/// The requests a second that the limited target takes.
const LIMIT_PER_S: usize = 2;
/// The time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after its first answer with a limit a node may go on as before.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// The time for which requests are sent.
const SENDING_TIME: Duration = Duration::from_secs(7);
/// The pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// How long a busy target takes for each request.
const BUSY_TIME: Duration = Duration::from_millis(200);
/// The time in which nodes learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Returns the most requests that a target may get in [`WINDOW`]: one and a half times what its limit allows, and 5.
fn allowed(limit_per_s: usize) -> usize {
    6 * limit_per_s + 5
}

/// Returns the most requests that reached `target` in any [`WINDOW`] after `since`.
fn most_in_window(target: &StandInTarget, since: Instant) -> usize {
    let arrivals = target.arrivals();
    let arrivals: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= since).collect();
    let counts = (0..arrivals.len()).map(|first| {
        let end = arrivals[first] + WINDOW;
        arrivals[first..].iter().take_while(|at| **at < end).count()
    });
    counts.max().unwrap_or(0)
}

fn assert_kept(name: &str, target: &StandInTarget, limit_per_s: usize, since: Instant) {
    let most = most_in_window(target, since);
    println!("{name}: {most} requests in {WINDOW:?}");
    assert!(
        most <= allowed(limit_per_s),
        "{name}: {most} requests in {WINDOW:?}"
    );
}

/// Sends requests to all nodes at once for [`SENDING_TIME`]; returns the number of responses by status.
async fn send_all(fleet: &Fleet, path: &str) -> Vec<u16> {
    let until = Instant::now() + SENDING_TIME;
    let callers = (0..2 * NODES).map(async |caller| {
        let mut statuses = Vec::new();
        while Instant::now() < until {
            let id = format!("{caller}-{}", statuses.len());
            let sent = fleet.post(caller % NODES, path, &id).send().await;
            let response = sent.expect("a response");
            statuses.push(response.status().as_u16());
            events(response).await;
            sleep(REQUEST_PAUSE).await;
        }
        statuses
    });
    join_all(callers).await.concat()
}

/// Starts a fleet whose first target names a limit.
async fn limited_fleet(targets: usize) -> Fleet {
    let fleet = fleet(NODES, targets).await;
    fleet.targets[0].set_limits(&[&LIMIT_PER_S.to_string()]);
    sleep(SETTLE_TIME).await;
    fleet
}

#[tokio::test]
async fn requests_of_many_nodes() {
    let cases = [
        ("/idempotent/1", Behaviour::Responds),
        ("/once/1", Behaviour::Responds),
        ("/once-stream/1", Behaviour::Responds),
        ("/resumable-stream/1", Behaviour::DisconnectsAfter(2)),
        ("/idempotent/1", Behaviour::Fails),
        ("/idempotent/1", Behaviour::Full),
    ];
    join_all(cases.map(async |(path, behaviour)| {
        let fleet = limited_fleet(2).await;
        let [limited, other] = &fleet.targets[..] else {
            panic!("two targets");
        };
        limited.set_default_behaviour(behaviour);
        // The requests need more slots than this target has.
        other.set_default_behaviour(Behaviour::PausesBeforeHead(BUSY_TIME));
        let since = Instant::now() + NOTICE_TIME;
        send_all(&fleet, path).await;
        let name = format!("{path}, {behaviour:?}");
        assert_kept(&name, limited, LIMIT_PER_S, since);
        // Half of what the target takes.
        let most = most_in_window(limited, since);
        assert!(most >= 2 * LIMIT_PER_S, "{name}: {most} requests");
    }))
    .await;
}

#[tokio::test]
async fn items_beside_requests() {
    let fleet = limited_fleet(2).await;
    fleet.targets[0].set_default_behaviour(Behaviour::DisconnectsAfter(1));
    let since = Instant::now() + NOTICE_TIME;
    let items = async {
        for number in 0..20 {
            let paths = ["stream/1"; 10];
            let id = format!("j{number}");
            assert_eq!(fleet.submit(number % NODES, &id, &paths).await, 202);
            sleep(SENDING_TIME / 20).await;
        }
    };
    join(items, send_all(&fleet, "/resumable-stream/1")).await;
    assert_kept("items", &fleet.targets[0], LIMIT_PER_S, since);
}

#[tokio::test]
async fn nodes_that_start_later() {
    let mut fleet = limited_fleet(2).await;
    let since = Instant::now() + NOTICE_TIME;
    send_all(&fleet, "/idempotent/1").await;
    for number in 0..2 {
        let node = fleet.nodes.remove(0);
        node.shutdown.on_signal();
        node.task.await.expect("the node ends");
        fleet.add_node(&format!("node-{number}"), true).await;
    }
    send_all(&fleet, "/idempotent/1").await;
    assert_kept("restarted", &fleet.targets[0], LIMIT_PER_S, since);
}

#[tokio::test]
async fn all_targets_limited() {
    let fleet = fleet(NODES, 2).await;
    for target in &fleet.targets {
        target.set_limits(&[&LIMIT_PER_S.to_string()]);
    }
    sleep(SETTLE_TIME).await;
    let since = Instant::now() + NOTICE_TIME;
    let until = Instant::now() + SENDING_TIME;
    let mut served = 0;
    let mut number = 0;
    while Instant::now() < until {
        let sent = Instant::now();
        let id = format!("r{number}");
        let request = fleet.post(number % NODES, "/idempotent/1", &id);
        let response = request.send().await.expect("a response");
        match response.status().as_u16() {
            200 => served += 1,
            status => {
                assert_eq!(status, 503, "{id}");
                let again = response.headers().get("retry-after");
                assert!(again.is_some(), "{id}");
                // A request that is not served is rejected long before its deadline of 3 s.
                assert!(sent.elapsed() < Duration::from_secs(1), "{id}");
            }
        }
        number += 1;
    }
    for target in &fleet.targets {
        assert_kept("all", target, LIMIT_PER_S, since);
    }
    // Half of what the two targets take.
    let taken = 2 * LIMIT_PER_S * usize::try_from(SENDING_TIME.as_secs()).expect("seconds");
    assert!(served >= taken / 2, "{served} of {taken}");
}

#[tokio::test]
async fn limit_that_ends() {
    let fleet = limited_fleet(1).await;
    send_all(&fleet, "/idempotent/1").await;
    fleet.targets[0].set_limits(&[]);
    // At the limit, a node learns of its end with its next request.
    let ended = Instant::now() + 2 * SETTLE_TIME;
    send_all(&fleet, "/idempotent/1").await;
    let most = most_in_window(&fleet.targets[0], ended);
    assert!(most > 2 * allowed(LIMIT_PER_S), "{most}");
}

#[tokio::test]
async fn values_that_are_no_rate() {
    let fleet = fleet(NODES, 4).await;
    fleet.targets[0].set_limits(&["2", "3"]);
    sleep(SETTLE_TIME).await;
    let since = Instant::now();
    let statuses = send_all(&fleet, "/idempotent/1").await;
    assert!(statuses.iter().all(|status| *status == 200));
    assert!(most_in_window(&fleet.targets[0], since) > allowed(3));
}
