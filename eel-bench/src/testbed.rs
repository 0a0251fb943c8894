//! Starts stand-ins and writes settings files for one entry node and its target nodes, all on loopback addresses.

use std::{net::SocketAddr, path::PathBuf};

use eel_local::{FleetFiles, free_tcp_address, free_udp_address};
use eel_standin::{
    engine::{Engine, EngineOptions},
    kv::KvServer,
    vm_list::{ListedVm, VmListServer},
};
use eel_store::{EtcdJson, EtcdOptions, KeyValue as _, Op, Txn};
use error_stack::{Report, ResultExt as _};
use serde_json::{Value, json};

/// The key of the only caller.
pub const CALLER_KEY: &str = "bench-key";
const CALLER_KEY_SHA256: &str = "b0962662e937d44c699c8305d90cbf190b3150c59b13863d1380b5cc3c711bb7";

const POOL: &str = "bench-runners";
const SERVICE_PATH: &str = "/services/bench/";

/// Options of [`start`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The directory for certificates and settings files.
    pub directory: PathBuf,
    /// The number of target nodes to write settings for.
    pub targets: u32,
    /// The base URL of the target, without a trailing slash; `None` starts a stand-in engine.
    pub engine_url: Option<String>,
}

/// Running stand-ins, and the settings files of nodes that use them.
pub struct Testbed {
    /// The key-value service.
    pub store: KvServer,
    /// The VM list.
    pub vm_list: VmListServer,
    /// The stand-in engine; `None` if the options name another target.
    pub engine: Option<Engine>,
    /// The settings file of the entry node.
    pub entry_settings: PathBuf,
    /// The settings files of the target nodes.
    pub target_settings: Vec<PathBuf>,
    /// The URL of the service at the entry node.
    pub path_url: String,
    /// The URL of the same service at the target.
    pub direct_url: String,
}

/// Why the testbed cannot be set up.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in cannot start, or there is no free port.
    #[error("cannot start a stand-in")]
    StandIn,
    /// The records cannot be written to the stand-in of the key-value service.
    #[error("cannot write the records to the key-value service")]
    Records,
    /// A certificate or settings file cannot be written.
    #[error("cannot write a certificate or settings file")]
    File,
}

/// Starts the stand-ins, declares one service and one caller, and writes the settings files. Starts no node.
///
/// # Errors
///
/// [`Error`] if a stand-in cannot start, or the records or a file cannot be written.
pub async fn start(options: &Options) -> Result<Testbed, Report<Error>> {
    let store = KvServer::start().await.change_context(Error::StandIn)?;
    let vm_list = VmListServer::start().await.change_context(Error::StandIn)?;
    let engine = match options.engine_url {
        Some(_) => None,
        None => Some(Engine::start(EngineOptions::default()).await),
    };
    let engine_url = options.engine_url.clone();
    let engine_url = engine_url
        .or_else(|| engine.as_ref().map(Engine::url))
        .unwrap_or_default();
    put_records(&store.url()).await?;
    let files = FleetFiles::new(&options.directory).change_context(Error::File)?;
    let mut target_settings = Vec::new();
    let mut listed = Vec::new();
    for index in 0..options.targets {
        let name = format!("target-{index}");
        let quic = free_udp_address().change_context(Error::StandIn)?;
        let settings = files.write_target(&name, POOL, quic, &engine_url);
        target_settings.push(settings.change_context(Error::File)?);
        listed.push(listed_vm(&name, quic));
    }
    vm_list.set_vms(listed);
    let http = free_tcp_address().change_context(Error::StandIn)?;
    let entry_settings = files.write_entry("entry", http, &store.url(), &vm_list.url());
    let entry_settings = entry_settings.change_context(Error::File)?;
    Ok(Testbed {
        store,
        vm_list,
        engine,
        entry_settings,
        target_settings,
        path_url: format!("http://{http}{SERVICE_PATH}"),
        direct_url: format!("{engine_url}/"),
    })
}

fn listed_vm(name: &str, address: SocketAddr) -> ListedVm {
    ListedVm {
        name: name.to_owned(),
        address,
        data_centre: "dc-a".to_owned(),
        pool: POOL.to_owned(),
        state: "live",
    }
}

fn records() -> [Value; 2] {
    let service = json!({
        "schema": 2, "kind": "service", "name": "bench",
        "spec": {
            "pool": POOL, "protocol": "plain", "class": "urgent", "repeatable": true,
            "latency": { "first_token_ms": 1_000 },
            "limits": { "slots": 1_024, "queue": 4_096, "max_body_bytes": 65_536, "timeout_ms": 10_000 },
        },
    });
    let caller = json!({
        "schema": 2, "kind": "caller", "name": "bench",
        "spec": {
            "keys_sha256": [CALLER_KEY_SHA256],
            "services": ["*"],
            "limits": { "rate_per_s": 1_000_000, "burst": 1_000_000, "concurrency": 10_000 },
        },
    });
    [service, caller]
}

async fn put_records(store_url: &str) -> Result<(), Report<Error>> {
    let store = EtcdJson::new(&EtcdOptions::new(store_url)).change_context(Error::Records)?;
    let success = records().map(|record| {
        let kind = record["kind"].as_str().unwrap_or_default();
        let name = record["name"].as_str().unwrap_or_default();
        Op::put(
            format!("/eelgrassgap/config/{kind}/{name}"),
            record.to_string(),
        )
    });
    let txn = Txn {
        success: success.to_vec(),
        ..Txn::default()
    };
    store.commit(&txn).await.change_context(Error::Records)?;
    Ok(())
}
