//! One node as a process, with a store but no targets yet, and a client.

use std::{net::SocketAddr, time::Duration};

use eel_platform::standin::{
    HOST, LiteralScript, LiteralTarget, StandInStore, StandInTarget, routes,
};
use reqwest::{Client, RequestBuilder};
use serde_json::Value;
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use crate::{ports::Ports, process::Process, proxy::Proxy};

/// A path of each kind of online request.
pub const PATHS: [&str; 4] = [
    "/once/1",
    "/once-stream/1",
    "/resumable-stream/1",
    "/idempotent/1",
];
/// The time after which a test that waits for a condition fails.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// How often a request is sent until it reaches a target.
const MAX_TRIES: u32 = 50;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const LITERAL_TARGETS: usize = 16;

pub struct Fixture {
    pub store: StandInStore,
    pub node: Process,
    pub client: Client,
    _ports: Ports,
    _directory: TempDir,
}

impl Fixture {
    pub async fn start() -> Self {
        Self::start_limited(&routes(1), "", None).await
    }

    /// Starts a node with the manifest `config`, settings that end with the sections `more`, and at most `max_descriptors`
    /// open descriptors.
    pub async fn start_limited(config: &Value, more: &str, max_descriptors: Option<u64>) -> Self {
        let store = StandInStore::start().await.expect("a store");
        let address = store.address();
        Self::start_at(store, address, config, more, max_descriptors)
    }

    /// Starts a node as [`start_limited`](Self::start_limited) does, with a proxy before its store.
    pub async fn start_proxied(config: &Value, more: &str) -> (Self, Proxy) {
        let store = StandInStore::start().await.expect("a store");
        let proxy = Proxy::start(store.address()).await;
        let fixture = Self::start_at(store, proxy.address, config, more, None);
        (fixture, proxy)
    }

    fn start_at(
        store: StandInStore,
        address: SocketAddr,
        config: &Value,
        more: &str,
        max_descriptors: Option<u64>,
    ) -> Self {
        store.put("op/config", &config.to_string());
        let directory = tempfile::tempdir().expect("a directory");
        let mut ports = Ports::reserve();
        let path = directory.path();
        let node = Process::start_limited(
            path,
            &mut ports,
            "node-0",
            address,
            true,
            more,
            max_descriptors,
        );
        let client = Client::builder().no_proxy().build().expect("a client");
        Self {
            store,
            node,
            client,
            _ports: ports,
            _directory: directory,
        }
    }

    /// Returns a request of the route that the start of `path` names.
    pub fn post(&self, path: &str, id: &str) -> RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.node.http))
            .header("host", HOST)
            .header("x-eelgrassgap-attempt-id", id)
            .body("body")
    }

    /// Calls `attempt` with new ids that start with `id` until it returns something: the node avoids targets that have failed,
    /// and finds them only after its start.
    pub async fn retry<T>(&self, id: &str, mut attempt: impl AsyncFnMut(&str) -> Option<T>) -> T {
        for number in 0..MAX_TRIES {
            if let Some(seen) = attempt(&format!("{id}-{number}")).await {
                return seen;
            }
            sleep(RETRY_PAUSE).await;
        }
        panic!("{id} has no result, {}", self.node.log_tail());
    }

    /// Waits until `condition` holds; fails with the node's log otherwise.
    pub async fn wait_until(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let waiting = async {
            while !condition().await {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let waited = timeout(WAIT_TIMEOUT, waiting).await;
        assert!(
            waited.is_ok(),
            "timed out waiting until: {what}, {}",
            self.node.log_tail()
        );
    }

    /// Waits until the node uses a target.
    pub async fn wait_served(&self) {
        self.wait_until("the node serves", async || {
            let sent = self.post("/idempotent/1", "first").send().await;
            sent.is_ok_and(|response| response.status() == 200)
        })
        .await;
    }

    /// Starts a target, and waits until the node uses it.
    pub async fn start_served() -> (Self, StandInTarget) {
        let fixture = Self::start().await;
        let target = StandInTarget::start("scribe", "i-0").await;
        let target = target.expect("a target");
        target.announce(&fixture.store, "ready");
        fixture.wait_served().await;
        (fixture, target)
    }

    /// Starts targets that share `script`, and waits until the node uses them. Many serve, as the node avoids those that failed.
    pub async fn start_literal(script: &LiteralScript) -> (Self, Vec<LiteralTarget>) {
        let fixture = Self::start().await;
        let mut targets = Vec::new();
        for number in 0..LITERAL_TARGETS {
            let id = format!("i-{number}");
            let target = LiteralTarget::start(&fixture.store, &id, script.clone()).await;
            targets.push(target.expect("a target"));
        }
        fixture.wait_served().await;
        (fixture, targets)
    }
}
