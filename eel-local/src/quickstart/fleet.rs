//! Starts and drains the fleet of the quickstart.

use std::{
    fs,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use eel_core::{Exit, apply};
use eel_standin::{
    engine::{Engine, EngineOptions},
    kv::KvServer,
    vm_list::{ListedVm, VmListServer},
};
use eel_store::{EtcdJson, EtcdOptions};
use error_stack::{Report, ResultExt as _};
use rand::RngExt as _;
use reqwest::{Client, RequestBuilder};

use super::Error;
use crate::{FleetFiles, Nodes, free_tcp_address, free_udp_address, wait_ready};

const RECORDS: &str = include_str!("../../records/quickstart.json");
const PREFIX: &str = "/eelgrassgap";
/// The key of the only caller in the records.
pub(super) const CALLER_KEY: &str = "quickstart-key";
/// The name and pool of each target node; a stand-in target runs beside each.
const TARGETS: [(&str, &str); 2] = [
    ("scribe-runner-1", "scribe-runners"),
    ("dispatch-runner-1", "dispatch-runners"),
];
/// The path and body of one request for each pool, sent until the response has status 200.
const READY_REQUESTS: [(&str, &str); 2] = [
    ("/v1/completions", r#"{"model":"scribe","max_tokens":1}"#),
    ("/services/dispatch/ready", ""),
];
const ENGINE_STEP_US: u64 = 2_000;

/// The running stand-ins and nodes.
pub(super) struct Fleet {
    /// The output of `apply` for the records.
    pub(super) applied: String,
    /// The base URL for callers.
    pub(super) url: String,
    client: Client,
    entry: Nodes,
    targets: Nodes,
    platform: Platform,
}

/// The stand-ins of the platform and of the targets. They stop when dropped.
struct Platform {
    store: KvServer,
    vm_list: VmListServer,
    engines: Vec<Engine>,
}

impl Fleet {
    /// Starts the stand-ins and nodes and waits until each service responds.
    pub(super) async fn start(directory: &Path) -> Result<Self, Report<Error>> {
        let mut platform = Platform::start().await?;
        let applied = apply_records(directory, &platform.store.url()).await?;
        let files = FleetFiles::new(directory).change_context(Error::File)?;
        let targets = platform.start_targets(&files).await?;
        let mut entry = Nodes::default();
        let http = free_tcp_address().change_context(Error::Start)?;
        let store_url = platform.store.url();
        let settings = files.write_entry("entry-1", http, &store_url, &platform.vm_list.url());
        let settings = settings.change_context(Error::File)?;
        entry.start_entry(&settings).change_context(Error::Start)?;
        let builder = Client::builder().no_proxy();
        let fleet = Self {
            applied,
            url: format!("http://{http}"),
            client: builder.build().change_context(Error::Start)?,
            entry,
            targets,
            platform,
        };
        for (path, body) in READY_REQUESTS {
            let request = fleet.post(path).body(body);
            wait_ready(&request).await.change_context(Error::Start)?;
        }
        Ok(fleet)
    }

    /// Builds a POST request with the caller's key.
    pub(super) fn post(&self, path: &str) -> RequestBuilder {
        let request = self.client.post(format!("{}{path}", self.url));
        request.bearer_auth(CALLER_KEY)
    }

    /// Drains the entry node, then the target nodes, and stops the stand-ins.
    pub(super) async fn drain(self) -> Result<(), Report<Error>> {
        self.entry.drain().await.change_context(Error::Drain)?;
        self.targets.drain().await.change_context(Error::Drain)?;
        drop(self.platform);
        Ok(())
    }
}

impl Platform {
    async fn start() -> Result<Self, Report<Error>> {
        Ok(Self {
            store: KvServer::start().await.change_context(Error::Start)?,
            vm_list: VmListServer::start().await.change_context(Error::Start)?,
            engines: Vec::new(),
        })
    }

    /// Starts the target nodes, each with a stand-in target, and adds them to the VM list.
    async fn start_targets(&mut self, files: &FleetFiles<'_>) -> Result<Nodes, Report<Error>> {
        let mut nodes = Nodes::default();
        let mut listed = Vec::new();
        for (name, pool) in TARGETS {
            let engine = Engine::start(EngineOptions {
                step_us: ENGINE_STEP_US,
                ..EngineOptions::default()
            });
            let engine = engine.await;
            let address = free_udp_address().change_context(Error::Start)?;
            let settings = files.write_target(name, pool, address, &engine.url());
            let settings = settings.change_context(Error::File)?;
            nodes.start_target(&settings).change_context(Error::Start)?;
            self.engines.push(engine);
            listed.push(ListedVm {
                name: name.to_owned(),
                address,
                data_centre: "dc-a".to_owned(),
                pool: pool.to_owned(),
                state: "live",
            });
        }
        self.vm_list.set_vms(listed);
        Ok(nodes)
    }
}

/// Writes the records to a directory and applies it, as an operator would. Returns the output of `apply`.
async fn apply_records(directory: &Path, store_url: &str) -> Result<String, Report<Error>> {
    let directory = directory.join("records");
    fs::create_dir_all(&directory).change_context(Error::File)?;
    fs::write(directory.join("quickstart.json"), RECORDS).change_context(Error::File)?;
    let options = apply::Options {
        directory,
        ..apply::Options::default()
    };
    let token: u128 = rand::rng().random();
    let context = apply::Context {
        store: &EtcdJson::new(&EtcdOptions::new(store_url)).change_context(Error::Records)?,
        prefix: PREFIX,
        token: &format!("{token:032x}"),
        now_unix_ms: unix_ms(),
    };
    let applied = apply::apply(&options, &context).await;
    let outcome = applied.change_context(Error::Records)?;
    if outcome.exit() != Exit::Success {
        return Err(Report::new(Error::Records).attach(outcome.to_string()));
    }
    Ok(outcome.to_string())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
