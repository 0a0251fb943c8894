//! A fleet in one process: stand-ins for the store and the targets, and gateway nodes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eel_gateway::GatewayNode;
use eel_ledger::{Item, JobHead, Keys, submission};
use eel_platform::{
    PlatformStore, StoreOptions,
    standin::{
        Behaviour, HOST, RawResponse, RawScript, RawTarget, StandInStore, StandInTarget, routes,
    },
};
use eel_settings::GatewaySettings;
use eel_store::KeyValue as _;
use eel_supervise::Shutdown;
use futures_util::future::{join_all, select};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time::sleep};

/// The time for which a crashed target is down.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// The time after which a test that waits for a condition fails.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Longer than the targets take for their three events, so that the node has progress to save.
const EVENTS_TIME: Duration = Duration::from_millis(100);

pub struct Node {
    pub http: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub shutdown: Shutdown,
    pub task: JoinHandle<()>,
}

pub struct Fleet {
    pub store: StandInStore,
    pub targets: Vec<StandInTarget>,
    pub nodes: Vec<Node>,
    pub client: Client,
}

/// Starts a fleet of `nodes` nodes, which serve callers and run batch, and `targets` targets of one service.
pub async fn fleet(nodes: usize, targets: usize) -> Fleet {
    let store = StandInStore::start().await.expect("a store");
    store.put("op/config", &routes(1).to_string());
    let mut all = Vec::new();
    for number in 0..targets {
        let target = StandInTarget::start("scribe", &format!("i-{number}"))
            .await
            .expect("a target");
        target.announce(&store, "ready");
        all.push(target);
    }
    let client = Client::builder().no_proxy().build().expect("a client");
    let mut fleet = Fleet {
        store,
        targets: all,
        nodes: Vec::new(),
        client,
    };
    for number in 0..nodes {
        fleet.add_node(&format!("node-{number}"), true).await;
    }
    fleet
}

/// Starts a fleet with one node, and a job whose item stalls at its target after 3 events.
pub async fn stalled_fleet() -> Fleet {
    let fleet = fleet(1, 2).await;
    for target in &fleet.targets {
        target.set_default_behaviour(Behaviour::StallsAfter(3));
    }
    assert_eq!(fleet.submit(0, "j1", &["stream/1"]).await, 202);
    wait_until("the item runs", async || fleet.runs("j1-0") > 0).await;
    // The target sends its events on the same thread meanwhile.
    sleep(EVENTS_TIME).await;
    fleet
}

/// Starts a fleet as [`stalled_fleet`] does, and ends its node without a drain once the item's text is saved.
pub async fn orphaned_fleet() -> Fleet {
    let mut fleet = stalled_fleet().await;
    let saved = async || !fleet.store.keys("eelgrassgap/partials/").is_empty();
    wait_until("its text is saved", saved).await;
    let lost = fleet.nodes.remove(0);
    lost.task.abort();
    // It was cancelled.
    let _ = lost.task.await;
    fleet
}

/// A fleet whose targets end their responses as a script says.
pub struct RawFleet {
    pub fleet: Fleet,
    pub targets: Vec<RawTarget>,
}

/// Starts one node before two targets that give the first requests `responses` and later ones a complete response.
pub async fn raw_fleet(responses: &[RawResponse]) -> RawFleet {
    let script = RawScript::default();
    script.lock().expect("the script").extend(responses);
    let mut fleet = fleet(0, 0).await;
    let mut targets = Vec::new();
    for id in ["i-0", "i-1"] {
        let target = RawTarget::start("scribe", id, script.clone()).await;
        let target = target.expect("a target");
        target.announce(&fleet.store);
        targets.push(target);
    }
    fleet.add_node("node-0", true).await;
    RawFleet { fleet, targets }
}

/// Starts a node that serves callers and, if `runs_batch`, runs items of jobs.
pub async fn start_node(endpoint: &str, name: &str, runs_batch: bool) -> Node {
    let text = format!(
        "[node]\nname = {name}\ndata_centre = dc-a\n\
         [listen]\nhttp = 127.0.0.1:0\nready = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [store]\nendpoint = {endpoint}\ntimeout_ms = 300\nlease_ttl_ms = 1000\n\
         [batch]\nenabled = {runs_batch}\n\
         [drain]\ntimeout_ms = 8000\n"
    );
    let settings = GatewaySettings::parse(&text, "node.ini", PathBuf::new()).expect("settings");
    let node = GatewayNode::bind(&settings).await.expect("a node");
    let (http, ready) = (
        node.http_address().expect("callers"),
        node.ready_address().expect("readiness"),
    );
    let admin = node.admin_address().expect("admin pages");
    let shutdown = Shutdown::default();
    let running = shutdown.clone();
    let task = tokio::spawn(async move { node.run(running).await.expect("the node stops") });
    Node {
        http,
        ready,
        admin,
        shutdown,
        task,
    }
}

impl Fleet {
    pub fn post(&self, node: usize, path: &str, id: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.nodes[node].http);
        self.client
            .post(url)
            .header("host", HOST)
            .header("x-eelgrassgap-attempt-id", id)
            .body("body")
    }

    pub fn get(&self, node: usize, path: &str) -> RequestBuilder {
        self.client
            .get(format!("http://{}{path}", self.nodes[node].http))
            .header("host", HOST)
    }

    pub async fn is_ready(&self, node: usize) -> bool {
        let url = format!("http://{}/eelgrassgap/readiness", self.nodes[node].ready);
        self.client
            .get(url)
            .send()
            .await
            .is_ok_and(|response| response.status().is_success())
    }

    /// Returns the metrics page of a node.
    pub async fn metrics(&self, node: usize) -> String {
        let url = format!("http://{}/metrics", self.nodes[node].admin);
        let response = self.client.get(url).send().await.expect("a response");
        response.text().await.expect("a page")
    }

    /// Adds a node and waits until it is ready; returns its index.
    pub async fn add_node(&mut self, name: &str, runs_batch: bool) -> usize {
        let node = start_node(&self.store.endpoint(), name, runs_batch).await;
        self.nodes.push(node);
        let index = self.nodes.len() - 1;
        wait_until("the node is ready", async || self.is_ready(index).await).await;
        index
    }

    /// Submits a job to the service `scribe`, with one item per path; returns the status.
    pub async fn submit(&self, node: usize, id: &str, paths: &[&str]) -> u16 {
        self.submit_to("jobs", node, id, paths).await
    }

    /// Submits a job through a route, with one item per path; returns the status.
    pub async fn submit_to(&self, route: &str, node: usize, id: &str, paths: &[&str]) -> u16 {
        let items: Vec<(String, Value)> = paths
            .iter()
            .map(|path| (format!("/{route}/{path}"), json!({})))
            .collect();
        self.submit_items(route, node, id, &items).await
    }

    /// Submits a job through a route, with one item per path and headers; returns the status.
    pub async fn submit_items(
        &self,
        route: &str,
        node: usize,
        id: &str,
        items: &[(String, Value)],
    ) -> u16 {
        let items: Vec<Value> = (0..)
            .zip(items)
            .map(|(number, (path, headers)): (usize, _)| {
                json!({"id": format!("{id}-{number}"), "path": path, "headers": headers, "body": "cQ=="})
            })
            .collect();
        let body = json!({"items": items}).to_string();
        let response = self
            .post(node, &format!("/{route}/submit"), id)
            .body(body)
            .send()
            .await
            .expect("a response");
        response.status().as_u16()
    }

    /// Returns a client of the store, as nodes use it.
    pub fn store_client(&self) -> PlatformStore {
        let store = PlatformStore::new(&StoreOptions {
            endpoint: self.store.endpoint(),
            call_timeout_ms: 1_000,
            watch_wait_ms: 1_000,
            max_staleness_ms: 1_000,
        });
        store.expect("a client")
    }

    /// Writes a job to the store as the node that accepts it would.
    pub async fn store_job(&self, id: &str, head: JobHead, items: &[Item]) {
        let keys = Keys::new("eelgrassgap/".into());
        let txn = submission(&keys, id, head, items).expect("a transaction");
        let stored = self.store_client().commit(&txn).await;
        stored.expect("the job is stored");
    }

    /// Waits until a job has at least `count` results and returns all of them.
    pub async fn results(&self, node: usize, id: &str, count: usize) -> Vec<Value> {
        let mut results = Vec::new();
        wait_until("the results are listed", async || {
            let response = self.read_results(node, id).await;
            if response.status().as_u16() != 200 {
                return false;
            }
            results = listed(response).await;
            results.len() >= count
        })
        .await;
        results
    }

    /// Returns the results of a job as one call gets them.
    pub async fn results_now(&self, node: usize, id: &str) -> Vec<Value> {
        let response = self.read_results(node, id).await;
        assert_eq!(response.status(), 200);
        listed(response).await
    }

    async fn read_results(&self, node: usize, id: &str) -> Response {
        let call = self.get(node, &format!("/eelgrassgap/lots/{id}?after=0"));
        call.send().await.expect("a response")
    }

    /// Runs `scenario`, while each crashed target is restarted after [`DOWN_TIME`], mostly with a new id.
    pub async fn with_restarts(&self, scenario: impl Future<Output = ()>) {
        let restarts = join_all(
            self.targets
                .iter()
                .enumerate()
                .map(async |(number, target)| {
                    loop {
                        if target.is_down() {
                            sleep(DOWN_TIME).await;
                            self.restart(number, target).await;
                        }
                        sleep(Duration::from_millis(10)).await;
                    }
                }),
        );
        select(Box::pin(scenario), Box::pin(restarts)).await;
    }

    async fn restart(&self, number: usize, target: &StandInTarget) {
        let id = match number % 4 {
            0 => format!("i-{number}"),
            _ => format!("i-{number}-{}", target.crashes()),
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.expect("a time after 1970").as_millis();
        let started_ms = u64::try_from(now_ms).expect("a time in ms");
        let restarted = target.restart(&self.store, &id, started_ms).await;
        restarted.expect("a restarted target");
    }

    /// Stops all nodes and starts as many new ones of the same names.
    pub async fn restart_nodes(&mut self) {
        let count = self.nodes.len();
        for node in self.nodes.drain(..) {
            node.shutdown.on_signal();
            node.task.await.expect("the node ends");
        }
        for number in 0..count {
            self.add_node(&format!("node-{number}"), true).await;
        }
    }

    /// Starts a target of `service` at a software version and announces it; returns its index.
    pub async fn add_target(&mut self, service: &str, version: &str) -> usize {
        let index = self.targets.len();
        let target = StandInTarget::start(service, &format!("i-{index}")).await;
        let target = target.expect("a target");
        target.set_version(version);
        target.announce(&self.store, "ready");
        self.targets.push(target);
        index
    }

    /// Ends all nodes without a drain and starts as many new ones, which know only what the store holds.
    pub async fn replace_nodes(&mut self) {
        let count = self.nodes.len();
        for node in self.nodes.drain(..) {
            node.task.abort();
            // It was cancelled.
            let _ = node.task.await;
        }
        for number in 0..count {
            self.add_node(&format!("later-{number}"), true).await;
        }
    }

    /// Returns the software versions of the targets that ran the request.
    pub fn versions_of(&self, id: &str) -> BTreeSet<String> {
        let ran = self.targets.iter().filter(|target| target.runs(id) > 0);
        ran.map(StandInTarget::version).collect()
    }

    /// Returns how often targets have crashed.
    pub fn crashes(&self) -> u32 {
        self.targets.iter().map(StandInTarget::crashes).sum()
    }

    pub fn runs(&self, id: &str) -> u32 {
        self.targets.iter().map(|target| target.runs(id)).sum()
    }
}

/// Returns the first item of the job `job` as it is stored; its id is that of the job and `-0`.
pub fn stored_item(job: &str, headers: &[(&str, &str)]) -> Item {
    let headers = headers.iter();
    Item {
        id: format!("{job}-0").into(),
        path: "/jobs/stream/1".into(),
        headers: headers
            .map(|&(name, it)| (name.into(), it.into()))
            .collect(),
        body: "body".into(),
        tokens: 1,
    }
}

async fn listed(response: Response) -> Vec<Value> {
    let document: Value = response.json().await.expect("a document");
    document["results"].as_array().cloned().unwrap_or_default()
}

/// Waits until `condition` holds; panics with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(
        tokio::time::timeout(WAIT_TIMEOUT, waiting).await.is_ok(),
        "timed out waiting until: {what}"
    );
}

/// Reads a stream to its end; returns the ids of its events and whether it is complete.
pub async fn events(response: Response) -> (Vec<u64>, bool) {
    let mut response = response;
    let mut text = String::new();
    let is_whole = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    (
        ids.map(|id| id.parse().expect("a number")).collect(),
        is_whole,
    )
}
