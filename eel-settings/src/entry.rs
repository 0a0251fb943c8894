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

/// Settings of an entry node, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// `[node]`.
    pub node: EntryNodeSettings,
    /// `[listen]`.
    pub listen: EntryListenSettings,
    /// `[store]`.
    pub store: StoreSettings,
    /// `[vm_list]`.
    pub vm_list: VmListSettings,
    /// `[tls]`.
    pub tls: TlsSettings,
    /// `[telemetry]`.
    pub telemetry: TelemetrySettings,
    /// `[batch]`.
    pub batch: BatchSettings,
    /// `[drain]`.
    pub drain: DrainSettings,
}

/// `[node]`: who an entry node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryNodeSettings {
    /// The VM's name.
    pub name: Name,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// The region of the data centre.
    pub region: Name,
}

/// `[listen]`: the addresses that an entry node binds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryListenSettings {
    /// Callers' requests.
    pub http: SocketAddr,
    /// Metrics, health and status.
    pub admin: SocketAddr,
    /// The local side of links to target nodes.
    pub quic_bind: SocketAddr,
}

/// `[batch]`: the entry node's part in batch jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchSettings {
    /// Whether the node claims chunks of batch jobs.
    pub enabled: bool,
    /// Chunks that the node works on at the same time.
    pub parallel_chunks: u32,
}

impl EntrySettings {
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
