//! Settings of an entry node.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use eel_types::Name;
use error_stack::Report;

use crate::{
    DrainSettings, Error, StoreSettings, TelemetrySettings, TlsSettings, VmListSettings,
    document::Document,
};

const SECTIONS: [&str; 8] = [
    "node",
    "listen",
    "store",
    "vm_list",
    "tls",
    "telemetry",
    "batch",
    "drain",
];

/// The validated settings of an entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Identity of the node, from `[node]`.
    pub node: EntryNodeSettings,
    /// Addresses to bind, from `[listen]`.
    pub listen: EntryListenSettings,
    /// Access to the key-value service, from `[store]`.
    pub store: StoreSettings,
    /// Access to the platform's VM list, from `[vm_list]`.
    pub vm_list: VmListSettings,
    /// Certificates for links, from `[tls]`.
    pub tls: TlsSettings,
    /// Logs and traces, from `[telemetry]`.
    pub telemetry: TelemetrySettings,
    /// Processing of batch jobs, from `[batch]`.
    pub batch: BatchSettings,
    /// Limits of a graceful shutdown, from `[drain]`.
    pub drain: DrainSettings,
}

/// `[node]`: the identity of an entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryNodeSettings {
    /// The name of the VM.
    pub name: Name,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The region of the data centre.
    pub region: Name,
}

/// `[listen]`: the addresses that an entry node binds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryListenSettings {
    /// The address for callers' requests.
    pub http: SocketAddr,
    /// The address for metrics, health and status.
    pub admin: SocketAddr,
    /// The local address of links to target nodes.
    pub quic_bind: SocketAddr,
}

/// `[batch]`: the processing of batch jobs on an entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchSettings {
    /// Whether the node claims chunks of batch jobs.
    pub enabled: bool,
    /// The maximum number of chunks that the node processes concurrently.
    pub parallel_chunks: u32,
}

impl EntrySettings {
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
            store: StoreSettings::read(&mut document),
            vm_list: VmListSettings::read(&mut document),
            tls: TlsSettings::read(&mut document),
            telemetry: TelemetrySettings::read(&mut document),
            batch: read_batch(&mut document),
            drain: DrainSettings::read(&mut document),
        };
        document.finish(settings)
    }
}

fn read_node(document: &mut Document) -> EntryNodeSettings {
    let mut section = document.section("node");
    let node = EntryNodeSettings {
        name: section.name("name"),
        data_centre: section.name("data_centre"),
        region: section.name("region"),
    };
    section.finish();
    node
}

fn read_listen(document: &mut Document) -> EntryListenSettings {
    let mut section = document.section("listen");
    let listen = EntryListenSettings {
        http: section.address("http"),
        admin: section.address("admin"),
        quic_bind: section.address_or_any("quic_bind"),
    };
    section.finish();
    listen
}

fn read_batch(document: &mut Document) -> BatchSettings {
    let mut section = document.section("batch");
    let batch = BatchSettings {
        enabled: section.boolean("enabled", true),
        parallel_chunks: section.number("parallel_chunks", 1..=1_024, 4),
    };
    section.finish();
    batch
}
