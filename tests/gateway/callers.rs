//! Callers that send online requests; responses are checked at once, outcomes are collected for the end of the run.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use eel_platform::standin::HOST;
use rand::{RngExt as _, rngs::SmallRng};
use reqwest::{Client, Response};
use tokio::time::sleep;

const EVENTS: [u64; 5] = [1, 2, 3, 4, 5];
/// The part of a prompt on which targets crash; one request of [`FATAL_INTERVAL`] has it.
pub const FATAL_PART: &str = "91bd3f06";
const FATAL_INTERVAL: u64 = 16;
const PATHS: [(&str, bool); 4] = [
    ("/idempotent/1", true),
    ("/once/1", false),
    ("/once-stream/1", false),
    ("/resumable-stream/1", true),
];

/// The outcome of one request for its caller.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    pub id: String,
    pub is_repeatable: bool,
    /// The tenant whose key the request carries.
    pub tenant: &'static str,
    /// The status of the response; `None` if the connection ended before there was one.
    pub status: Option<u16>,
}

pub type Observations = Vec<ObservedRequest>;

impl ObservedRequest {
    /// Returns whether the status means that the request did not run and never will.
    pub fn says_not_run(&self) -> bool {
        matches!(self.status, Some(401 | 408 | 421 | 429 | 503))
    }
}

/// Sends requests to random nodes until `stop`, over connections that are kept alive.
pub async fn call_until(
    stop: Arc<AtomicBool>,
    nodes: Vec<SocketAddr>,
    caller: u64,
    mut rng: SmallRng,
) -> Observations {
    let client = Client::builder().no_proxy().build().expect("a client");
    let mut observed = Observations::new();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let (path, is_repeatable) = PATHS[rng.random_range(0..PATHS.len())];
        let id = format!("r{caller}-{number}");
        let (tenant, key) = match caller % 3 {
            0 => ("changing", "changing0"),
            _ => ("steady", "steady"),
        };
        let url = format!("http://{}{path}", nodes[rng.random_range(0..nodes.len())]);
        let request = client
            .post(url)
            .header("host", HOST)
            .header("x-eelgrassgap-attempt-id", &id)
            .header("api-key", key)
            .header("x-eelgrassgap-tenant", "forged")
            .header("x-eelgrassgap-deadline-ms", "2000")
            .header("x-eelgrassgap-prefix-hash", parts(caller, number))
            .timeout(Duration::from_secs(4))
            .body(id.clone());
        let status = match request.send().await {
            Ok(response) => Some(check(response, path, &id).await),
            Err(_) => None,
        };
        observed.push(ObservedRequest {
            id,
            is_repeatable,
            tenant,
            status,
        });
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
    observed
}

/// Returns the parts of a request's prompt, whose last one belongs to it alone.
fn parts(caller: u64, number: u64) -> String {
    let fatal = if number % FATAL_INTERVAL == caller % FATAL_INTERVAL {
        format!("{FATAL_PART}:410,")
    } else {
        String::new()
    };
    format!("5c1e07a2:800,{fatal}{caller:x}{number:06x}:250")
}

/// Reads and checks a response; returns its status.
async fn check(mut response: Response, path: &str, id: &str) -> u16 {
    let status = response.status().as_u16();
    if status != 200 {
        return status;
    }
    assert_eq!(
        response.headers()["x-eelgrassgap-attempt-id"],
        id,
        "the response to another request"
    );
    assert!(
        response
            .headers()
            .contains_key("x-eelgrassgap-response-seal"),
        "{id} is not signed"
    );
    let mut body = String::new();
    let is_complete = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    if path.contains("stream") {
        let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
        assert!(EVENTS.starts_with(&ids), "{id}: events {ids:?}");
        assert!(
            !is_complete || ids == EVENTS,
            "{id}: the response is complete with events {ids:?}"
        );
    } else {
        assert!(!is_complete || body == id, "{id}: body {body:?}");
    }
    status
}
