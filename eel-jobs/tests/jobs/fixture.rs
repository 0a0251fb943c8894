//! Batch job processing of several entry nodes over one stand-in store, with a host that counts executions.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use eel_batch::Response;
use eel_jobs::{Host, ItemRequest, JobNode, Options, ServicePolicy, router};
use eel_standin::kv::KvServer;
use eel_store::{EtcdJson, EtcdOptions};
use eel_types::Name;
use eel_verdict::{Reason, Refusal};
use http::HeaderMap;
use salvo::{Server, conn::tcp::TcpAcceptor};
use tokio::{net::TcpListener, task::JoinHandle};

/// The number of executions by item body, shared by all nodes of a test.
pub type Executions = Arc<Mutex<BTreeMap<Vec<u8>, u32>>>;

/// A host with one service, `scribe`, that runs each item immediately and returns its body.
pub struct FakeHost {
    started: Instant,
    pub executions: Executions,
    pub credits: Arc<AtomicU32>,
    running: AtomicU32,
    /// The run time of an item.
    pub run_ms: u64,
    /// While `true`, blocks the node's thread in its next send.
    pub pause: Arc<AtomicBool>,
    /// The time that the node sees, in milliseconds, if the test sets it.
    pub clock_ms: Option<Arc<AtomicU64>>,
}

impl FakeHost {
    pub fn new(executions: &Executions) -> Self {
        Self {
            started: Instant::now(),
            executions: executions.clone(),
            credits: Arc::new(AtomicU32::new(8)),
            running: AtomicU32::new(0),
            run_ms: 1,
            pause: Arc::default(),
            clock_ms: None,
        }
    }
}

impl Host for FakeHost {
    fn authenticate(&self, headers: &HeaderMap) -> Result<Name, Refusal> {
        let key = headers
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        let caller = key.and_then(|key| key.strip_prefix("Bearer "));
        caller
            .map(Name::from)
            .ok_or(Refusal::not_run(Reason::Unauthorized))
    }

    fn authorize(&self, _caller: &Name, service: &Name) -> Result<ServicePolicy, Refusal> {
        match service.as_str() {
            "scribe" => Ok(ServicePolicy { repeatable: true }),
            _ => Err(Refusal::not_run(Reason::UnknownService)),
        }
    }

    fn credits(&self, _service: &Name) -> u32 {
        let credits = self.credits.load(Ordering::Relaxed);
        credits.saturating_sub(self.running.load(Ordering::Relaxed))
    }

    async fn send(&self, request: ItemRequest) -> Result<Response, Refusal> {
        if request.cancel.is_cancelled() {
            return Err(Refusal::not_run(Reason::Cancelled));
        }
        // Refuses items beyond the credits as not run, as a real host does. The check and the count are one atomic
        // step.
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.credits.load(Ordering::Relaxed) {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return Err(Refusal::not_run(Reason::Overloaded));
        }
        {
            let mut executions = self.executions.lock().unwrap();
            *executions.entry(request.body.to_vec()).or_default() += 1;
        }
        while self.pause.load(Ordering::Relaxed) {
            // Blocks every task of the node, like a stopped process.
            std::thread::sleep(Duration::from_millis(5));
        }
        let aborted = tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(self.run_ms)) => false,
            () = request.cancel.cancelled() => true,
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        if aborted {
            return Err(Refusal::may_have_run(Reason::Cancelled));
        }
        Ok(Response::from_bytes(200, &request.body))
    }

    fn now_ms(&self) -> u64 {
        if let Some(clock_ms) = &self.clock_ms {
            return clock_ms.load(Ordering::Relaxed);
        }
        u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }
}

pub type Node = JobNode<EtcdJson, FakeHost>;

/// Batch job processing of a node with its HTTP API.
pub struct Entry {
    pub node: Arc<Node>,
    credits: Arc<AtomicU32>,
    pub address: SocketAddr,
    running: JoinHandle<()>,
    serving: JoinHandle<()>,
}

pub fn new_node(server: &KvServer, vm: &str, host: FakeHost) -> Arc<Node> {
    JobNode::new(options(vm), open_store(server), Arc::new(host))
}

pub fn options(vm: &str) -> Options {
    Options {
        lease_ttl_ms: 2_000,
        ..Options::new(vm.into(), "/eel")
    }
}

pub fn open_store(server: &KvServer) -> EtcdJson {
    let store = EtcdOptions {
        call_timeout_ms: 500,
        ..EtcdOptions::new(server.url())
    };
    EtcdJson::new(&store).unwrap()
}

impl Entry {
    pub async fn start(server: &KvServer, vm: &str, host: FakeHost) -> Self {
        let credits = host.credits.clone();
        let node = new_node(server, vm, host);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let http = Server::new(TcpAcceptor::try_from(listener).unwrap());
        let serving = tokio::spawn(http.serve(router(&node)));
        let running = node.clone();
        let running = tokio::spawn(async move { running.run().await });
        Self {
            node,
            credits,
            address,
            running,
            serving,
        }
    }

    pub fn set_credits(&self, credits: u32) {
        self.credits.store(credits, Ordering::Relaxed);
    }

    /// Aborts every task of the node without a shutdown, like a kill.
    pub fn kill(self) {
        self.running.abort();
        self.serving.abort();
    }

    pub async fn drain(self) {
        self.node.start_drain();
        self.running.await.unwrap();
    }

    pub async fn submit(&self, key: &str, lines: String, repeatable: bool) -> reqwest::Response {
        let request = self.post("").header("idempotency-key", key.to_owned());
        let request = request.header("x-eel-service", "scribe");
        let request = request.header("x-eel-deadline-ms", "600000");
        let request = request.header("x-eel-repeatable", repeatable.to_string());
        request.body(lines).send().await.unwrap()
    }

    pub fn post(&self, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/batches{path}", self.address);
        reqwest::Client::new().post(url).bearer_auth("ridgelog")
    }

    pub async fn get(&self, path: &str) -> reqwest::Response {
        let url = format!("http://{}/v1/batches{path}", self.address);
        let request = reqwest::Client::new().get(url).bearer_auth("ridgelog");
        request.send().await.unwrap()
    }

    /// Reads all results; waits until they are complete.
    pub async fn results(&self, job: &str) -> Vec<serde_json::Value> {
        let text = self.get(&format!("/{job}/results?follow=true")).await;
        let text = text.text().await.unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }

    pub async fn status(&self, job: &str) -> serde_json::Value {
        json(self.get(&format!("/{job}")).await).await
    }
}

pub async fn json(response: reqwest::Response) -> serde_json::Value {
    let text = response.text().await.unwrap();
    serde_json::from_str(&text).unwrap()
}

pub async fn job_id(response: reqwest::Response) -> String {
    assert_eq!(response.status(), 200);
    json(response).await["id"].as_str().unwrap().to_owned()
}

pub fn lines(items: usize) -> String {
    let line = |item| {
        format!(
            r#"{{"custom_id":"i{item}","method":"POST","url":"/v1/completions","body":{{"n":{item}}}}}"#
        )
    };
    (0..items).map(line).collect::<Vec<_>>().join("\n")
}

pub fn executed(executions: &Executions) -> usize {
    executions.lock().unwrap().len()
}

/// Waits until `condition` holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Checks that each item has exactly one result, in order, and returns the number of items with a response.
pub fn check_complete(results: &[serde_json::Value], items: usize) -> usize {
    assert_eq!(results.len(), items);
    for (index, line) in results.iter().enumerate() {
        assert_eq!(line["custom_id"], format!("i{index}"));
        if line["error"].is_null() {
            assert_eq!(line["response"]["body"]["n"], index);
        }
    }
    results
        .iter()
        .filter(|line| line["error"].is_null())
        .count()
}
