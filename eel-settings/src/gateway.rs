//! Settings of a gateway node.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use eel_types::Name;
use error_stack::Report;

use crate::{DrainSettings, Error, TelemetrySettings, document::Document};

const SECTIONS: [&str; 6] = ["node", "listen", "store", "batch", "telemetry", "drain"];

/// Settings of a gateway node, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// `[node]`.
    pub node: GatewayNodeSettings,
    /// `[listen]`.
    pub listen: GatewayListenSettings,
    /// `[store]`.
    pub store: GatewayStoreSettings,
    /// `[batch]`.
    pub batch: GatewayBatchSettings,
    /// `[telemetry]`.
    pub telemetry: TelemetrySettings,
    /// `[drain]`.
    pub drain: DrainSettings,
}

/// `[node]`: who the node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayNodeSettings {
    /// The VM's name.
    pub name: Name,
    /// The data centre it stands in.
    pub data_centre: Name,
}

/// `[listen]`: the addresses that the node binds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayListenSettings {
    /// Callers; a node without it takes no requests.
    pub http: Option<SocketAddr>,
    /// The balancer's question whether the node takes connections.
    pub ready: Option<SocketAddr>,
    /// Load reports of the other nodes, as datagrams.
    pub peers: SocketAddr,
    /// Metrics and health.
    pub admin: SocketAddr,
}

/// `[store]`: the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayStoreSettings {
    /// The service's URL, without a trailing `/`.
    pub endpoint: Name,
    /// The prefix of every key of this fleet; ends with `/`.
    pub prefix: Name,
    /// How long a call may take.
    pub timeout_ms: u64,
    /// How long the node's lease lives without renewal.
    pub lease_ttl_ms: u64,
}

/// `[batch]`: the items of batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayBatchSettings {
    /// Whether the node runs items.
    pub enabled: bool,
    /// The most items that the node runs at once.
    pub parallel_items: usize,
}

impl GatewaySettings {
    /// Loads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file with its line, or that the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, Report<Error>> {
        Self::read(Document::load(path)?)
    }

    /// Checks `text`, which errors name `file`; relative paths in it start from `directory`.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text with its line.
    pub fn parse(text: &str, file: &str, directory: PathBuf) -> Result<Self, Report<Error>> {
        Self::read(Document::parse(text, file, directory)?)
    }

    fn read(mut document: Document) -> Result<Self, Report<Error>> {
        document.check_sections(&SECTIONS);
        let settings = Self {
            node: read_node(&mut document),
            listen: read_listen(&mut document),
            store: read_store(&mut document),
            batch: read_batch(&mut document),
            telemetry: TelemetrySettings::read(&mut document),
            drain: DrainSettings::read(&mut document),
        };
        document.finish(settings)
    }
}

fn read_node(document: &mut Document) -> GatewayNodeSettings {
    let mut section = document.section("node");
    let node = GatewayNodeSettings {
        name: section.name("name"),
        data_centre: section.name("data_centre"),
    };
    section.finish();
    node
}

fn read_listen(document: &mut Document) -> GatewayListenSettings {
    let mut section = document.section("listen");
    let listen = GatewayListenSettings {
        http: section.optional_address("http"),
        ready: section.optional_address("ready"),
        peers: section.address("peers"),
        admin: section.address("admin"),
    };
    section.finish();
    listen
}

fn read_store(document: &mut Document) -> GatewayStoreSettings {
    let mut section = document.section("store");
    let store = GatewayStoreSettings {
        endpoint: section.url("endpoint"),
        prefix: section.relative_prefix("prefix", "eelgrassgap/"),
        timeout_ms: section.number("timeout_ms", 10..=60_000, 1_000),
        lease_ttl_ms: section.number("lease_ttl_ms", 1_000..=600_000, 3_000),
    };
    section.finish();
    store
}

fn read_batch(document: &mut Document) -> GatewayBatchSettings {
    let mut section = document.section("batch");
    let batch = GatewayBatchSettings {
        enabled: section.boolean("enabled", true),
        parallel_items: section.number("parallel_items", 1..=10_000, 256),
    };
    section.finish();
    batch
}
