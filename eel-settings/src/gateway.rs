//! Settings of a gateway node.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use eel_types::Name;
use error_stack::Report;

use crate::{DrainSettings, Error, TelemetrySettings, document::Document};

const SECTIONS: [&str; 8] = [
    "node",
    "listen",
    "store",
    "batch",
    "limits",
    "placement",
    "telemetry",
    "drain",
];
/// The least memory of a node, in MB: what an idle process takes.
const MIN_MEMORY_MB: usize = 32;
const MAX_MEMORY_MB: usize = 1_048_576;
/// The least number of descriptors of a node: what it keeps for other uses, and some connections of callers.
const MIN_DESCRIPTORS: usize = 128;
const MAX_DESCRIPTORS: usize = 10_000_000;

/// The validated settings of a gateway node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Identity of the node, from `[node]`.
    pub node: GatewayNodeSettings,
    /// Addresses to bind, from `[listen]`.
    pub listen: GatewayListenSettings,
    /// Access to the key-value service, from `[store]`.
    pub store: GatewayStoreSettings,
    /// Processing of batch jobs, from `[batch]`.
    pub batch: GatewayBatchSettings,
    /// What callers may use of the machine, from `[limits]`.
    pub limits: GatewayLimitSettings,
    /// The choice of targets, from `[placement]`.
    pub placement: GatewayPlacementSettings,
    /// Logs and traces, from `[telemetry]`.
    pub telemetry: TelemetrySettings,
    /// Limits of a graceful shutdown, from `[drain]`.
    pub drain: DrainSettings,
}

/// `[node]`: the identity of a gateway node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayNodeSettings {
    /// The name of the VM.
    pub name: Name,
    /// The data centre of the VM.
    pub data_centre: Name,
}

/// `[listen]`: the addresses that a gateway node binds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayListenSettings {
    /// The address for callers' requests; without it the node accepts none.
    pub http: Option<SocketAddr>,
    /// The address for the load balancer's readiness checks.
    pub ready: Option<SocketAddr>,
    /// The address for load reports of other nodes, which arrive as datagrams.
    pub peers: SocketAddr,
    /// The address for metrics and health.
    pub admin: SocketAddr,
}

/// `[store]`: the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayStoreSettings {
    /// The service's URL, without a trailing `/`.
    pub endpoint: Name,
    /// The prefix of all keys of this fleet; ends with `/`.
    pub prefix: Name,
    /// The timeout of a call.
    pub timeout_ms: u64,
    /// The time to live of the node's lease without renewal.
    pub lease_ttl_ms: u64,
    /// How old the routes, targets and nodes that the node knows may be while the store responds. Larger values take
    /// fewer calls.
    pub max_staleness_ms: u64,
}

/// `[batch]`: the processing of batch items on a gateway node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayBatchSettings {
    /// Whether the node runs batch items.
    pub enabled: bool,
    /// The maximum number of items that the node runs concurrently.
    pub parallel_items: usize,
}

/// `[limits]`: the machine's figures, from which the limits on callers follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayLimitSettings {
    /// The memory that the process may use, in MB; `None` for that of the machine, but 2,048 at the most.
    pub memory_mb: Option<usize>,
    /// The descriptors that the process may open; `None` for the limit of the process.
    pub max_descriptors: Option<usize>,
}

/// `[placement]`: what the choice of a target takes into account besides load and health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayPlacementSettings {
    /// Whether online requests prefer targets that have been faster than others.
    pub speed_aware: bool,
    /// Whether a target that has just started or recovered gets a small share first.
    pub warm_up: bool,
}

impl GatewaySettings {
    /// Loads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or one with all problems of the file and their lines.
    pub fn load(path: &Path) -> Result<Self, Report<Error>> {
        Self::read(Document::load(path)?)
    }

    /// Parses and validates `text`. Errors report `file` as its name; relative paths are resolved against `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error with all problems of the text and their lines.
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
            limits: read_limits(&mut document),
            placement: read_placement(&mut document),
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
        max_staleness_ms: section.number("max_staleness_ms", 500..=60_000, 2_000),
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

fn read_limits(document: &mut Document) -> GatewayLimitSettings {
    let mut section = document.section("limits");
    let limits = GatewayLimitSettings {
        memory_mb: section.optional_number("memory_mb", MIN_MEMORY_MB..=MAX_MEMORY_MB),
        max_descriptors: section
            .optional_number("max_descriptors", MIN_DESCRIPTORS..=MAX_DESCRIPTORS),
    };
    section.finish();
    limits
}

fn read_placement(document: &mut Document) -> GatewayPlacementSettings {
    let mut section = document.section("placement");
    let placement = GatewayPlacementSettings {
        speed_aware: section.boolean("speed_aware", false),
        warm_up: section.boolean("warm_up", false),
    };
    section.finish();
    placement
}
