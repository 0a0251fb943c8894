//! The test fixture: stand-ins in the test process, entry and target nodes as processes.

mod fake_target;
mod node;
mod raw;
mod records;
mod relay;
mod repeating;

use std::{net::SocketAddr, path::PathBuf};

use eel_standin::{
    engine::{Engine, EngineOptions},
    kv::KvServer,
    vm_list::{ListedVm, VmListServer},
};
use eel_wire::{
    EndpointOptions, bind_server,
    credentials::{Credentials, PemPair, create_certificate_authority, issue_node_certificate},
};
pub use fake_target::{FAKE_LOAD, serve_control};
pub use node::{Node, eventually};
use quinn::Endpoint;
pub use raw::{RawTarget, start_mortal_target};
pub use records::{CALLER_KEY, Service};
pub use relay::{Relay, Silence};
pub use repeating::{Answer, Copied, RepeatingTarget};
use reqwest::{Client, RequestBuilder, Response};
use tempfile::TempDir;

/// The stand-ins of the platform and the certificate authority of a fleet.
pub struct Platform {
    pub store: KvServer,
    pub vm_list: VmListServer,
    directory: TempDir,
    authority: PemPair,
    listed: Vec<ListedVm>,
}

/// A target node and its stand-in target.
pub struct Target {
    pub node: Node,
    pub engine: Engine,
    vm: ListedVm,
}

/// An entry node and an HTTP client for it.
pub struct Entry {
    pub node: Node,
    pub url: String,
    pub admin_url: String,
    client: Client,
}

impl Platform {
    /// Starts the stand-ins of the platform and declares `services`.
    pub async fn start(services: &[Service]) -> Self {
        let store = KvServer::start().await.expect("a free port");
        records::put(&store.url(), services).await;
        let authority = create_certificate_authority().expect("a certificate");
        let directory = tempfile::tempdir().expect("a temporary directory");
        std::fs::write(directory.path().join("ca.pem"), &authority.certificate)
            .expect("a written file");
        Self {
            store,
            vm_list: VmListServer::start().await.expect("a free port"),
            directory,
            authority,
            listed: Vec::new(),
        }
    }

    /// Starts a target node of `pool` with a stand-in target and adds it to the VM list.
    pub async fn start_target(&mut self, name: &str, pool: &str) -> Target {
        let engine = Engine::start(EngineOptions {
            step_us: 1_000,
            ..EngineOptions::default()
        });
        self.start_target_with(name, pool, engine.await).await
    }

    /// Starts a target node of `pool` that forwards to `engine` and adds it to the VM list.
    pub async fn start_target_with(&mut self, name: &str, pool: &str, engine: Engine) -> Target {
        let (node, vm) = self.start_target_at(name, pool, &engine.url()).await;
        Target { node, engine, vm }
    }

    /// Starts a target node of `pool` that forwards to `url` and adds it to the VM list.
    pub async fn start_target_at(&mut self, name: &str, pool: &str, url: &str) -> (Node, ListedVm) {
        let tls = self.tls_section(name);
        let settings = format!(
            "[node]\nname = {name}\ndata_centre = dc-a\npool = {pool}\n\
             [listen]\nquic = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [target]\nurl = {url}\n{tls}"
        );
        let path = self.write_settings(name, &settings);
        let node = Node::start(env!("CARGO_BIN_EXE_eelgrassgap-target"), "run", &path);
        let address = node.value_after("Links are accepted at ").await;
        let vm = ListedVm {
            name: name.to_owned(),
            address: address.parse().expect("an address"),
            data_centre: "dc-a".to_owned(),
            pool: pool.to_owned(),
            state: "live",
        };
        self.listed.push(vm.clone());
        self.vm_list.set_vms(self.listed.clone());
        (node, vm)
    }

    /// Binds the endpoint of a target node that the test simulates and adds it to the VM list.
    pub fn bind_fake_target(&mut self, name: &str, pool: &str) -> Endpoint {
        let pair = issue_node_certificate(&self.authority, name).expect("a certificate");
        let credentials = Credentials::from_pem(&self.authority.certificate, &pair);
        let credentials = credentials.expect("usable credentials");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = bind_server(any_port, &credentials, EndpointOptions::default());
        let endpoint = endpoint.expect("a free port");
        self.listed.push(ListedVm {
            name: name.to_owned(),
            address: endpoint.local_addr().expect("a bound socket"),
            data_centre: "dc-a".to_owned(),
            pool: pool.to_owned(),
            state: "live",
        });
        self.vm_list.set_vms(self.listed.clone());
        endpoint
    }

    /// Starts an entry node and waits until it is ready and uses all listed targets.
    pub async fn start_ready_entry(&self, name: &str) -> Entry {
        let entry = self.start_entry(name).await;
        entry.wait_ready().await;
        entry.wait_targets(self.listed.len()).await;
        entry
    }

    /// Starts an entry node and waits until it listens.
    pub async fn start_entry(&self, name: &str) -> Entry {
        let tls = self.tls_section(name);
        let store = self.store.url();
        let list = self.vm_list.url();
        let settings = format!(
            "[node]\nname = {name}\ndata_centre = dc-a\nregion = here\n\
             [listen]\nhttp = 127.0.0.1:0\nadmin = 127.0.0.1:0\nquic_bind = 127.0.0.1:0\n\
             [store]\nendpoints = {store}\nlease_ttl_ms = 2000\n[vm_list]\nurl = {list}\npoll_ms = 100\n{tls}"
        );
        let path = self.write_settings(name, &settings);
        let node = Node::start(env!("CARGO_BIN_EXE_eelgrassgap"), "serve", &path);
        let http = node.value_after("Callers are served at ").await;
        let admin = node.value_after("Metrics are served at ").await;
        Entry {
            node,
            url: format!("http://{http}"),
            admin_url: format!("http://{admin}"),
            client: client(),
        }
    }

    /// Starts a relay to `target` and replaces the target's address in the VM list by that of the relay.
    pub async fn start_relay(&mut self, target: &Target) -> Relay {
        let relay = Relay::start(target.vm.address).await;
        for vm in &mut self.listed {
            if vm.name == target.vm.name {
                vm.address = relay.address;
            }
        }
        self.vm_list.set_vms(self.listed.clone());
        relay
    }

    /// Sets the state of `target` in the VM list to `leaving`.
    pub fn list_leaving(&mut self, target: &Target) {
        for vm in &mut self.listed {
            if vm.name == target.vm.name {
                vm.state = "leaving";
            }
        }
        self.vm_list.set_vms(self.listed.clone());
    }

    /// Removes `target` from the VM list.
    pub fn remove(&mut self, target: &Target) {
        self.listed.retain(|vm| vm.name != target.vm.name);
        self.vm_list.set_vms(self.listed.clone());
    }

    /// Returns the path of `file` in the fleet's temporary directory.
    pub fn path(&self, file: &str) -> PathBuf {
        self.directory.path().join(file)
    }

    fn tls_section(&self, name: &str) -> String {
        let pair = issue_node_certificate(&self.authority, name).expect("a certificate");
        let certificate = self.path(&format!("{name}.pem"));
        let key = self.path(&format!("{name}.key"));
        std::fs::write(&certificate, pair.certificate).expect("a written file");
        std::fs::write(&key, pair.key).expect("a written file");
        let ca = self.path("ca.pem");
        let trace = self.path(&format!("{name}.trace"));
        format!(
            "[tls]\nca = {}\ncertificate = {}\nkey = {}\n\
             [telemetry]\nlog_level = debug\ntrace_file = {}\ntrace_sample_percent = 100\n",
            ca.display(),
            certificate.display(),
            key.display(),
            trace.display(),
        )
    }

    fn write_settings(&self, name: &str, settings: &str) -> PathBuf {
        let path = self.path(&format!("{name}.ini"));
        std::fs::write(&path, settings).expect("a written file");
        path
    }
}

fn client() -> Client {
    let builder = Client::builder().no_proxy();
    builder.build().expect("an HTTP client")
}

impl Entry {
    /// Builds a POST request with the caller's key.
    pub fn post(&self, path: &str, tag: &str, body: impl Into<reqwest::Body>) -> RequestBuilder {
        self.post_as(CALLER_KEY, path, tag, body)
    }

    /// Builds a POST request with the key `key`.
    pub fn post_as(
        &self,
        key: &str,
        path: &str,
        tag: &str,
        body: impl Into<reqwest::Body>,
    ) -> RequestBuilder {
        self.client
            .post(format!("{}{path}", self.url))
            .bearer_auth(key)
            .header("x-tag", tag)
            .body(body)
    }

    /// Sends a GET request with the caller's key.
    pub async fn get(&self, path: &str) -> Response {
        let request = self.client.get(format!("{}{path}", self.url));
        let response = request.bearer_auth(CALLER_KEY).send().await;
        response.expect("a response")
    }

    /// Sends a completion request.
    pub async fn complete(&self, tag: &str, body: &str) -> reqwest::Result<Response> {
        self.post("/v1/completions", tag, body.to_owned())
            .send()
            .await
    }

    /// Waits until the node reports that it is ready.
    pub async fn wait_ready(&self) {
        let url = format!("{}/readyz", self.admin_url);
        node::eventually("the entry node is ready", async || {
            let response = self.client.get(&url).send().await;
            response.is_ok_and(|response| response.status().is_success())
        })
        .await;
    }

    /// Waits until the node uses `count` targets.
    pub async fn wait_targets(&self, count: usize) {
        let line = format!("eelgrassgap_entry_targets {count}");
        node::eventually("the targets are in use", async || {
            let metrics = self.metrics().await;
            metrics.lines().any(|found| found == line)
        })
        .await;
    }

    /// Returns the text of the metrics page.
    pub async fn metrics(&self) -> String {
        let page = self.client.get(format!("{}/metrics", self.admin_url));
        let response = page.send().await.expect("a response");
        response.text().await.expect("a body")
    }
}
