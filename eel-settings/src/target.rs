//! Settings of a target node.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use eel_types::Name;
use error_stack::Report;

use crate::{DrainSettings, Error, TelemetrySettings, TlsSettings, document::Document};

const SECTIONS: [&str; 6] = ["node", "listen", "target", "tls", "telemetry", "drain"];

/// The validated settings of a target node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// Identity of the node, from `[node]`.
    pub node: TargetNodeSettings,
    /// Addresses to bind, from `[listen]`.
    pub listen: TargetListenSettings,
    /// Connection to the target, from `[target]`.
    pub target: EngineSettings,
    /// Certificates for links, from `[tls]`.
    pub tls: TlsSettings,
    /// Logs and traces, from `[telemetry]`.
    pub telemetry: TelemetrySettings,
    /// Limits of a graceful shutdown, from `[drain]`.
    pub drain: DrainSettings,
}

/// `[node]`: the identity of a target node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetNodeSettings {
    /// The name of the VM.
    pub name: Name,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The pool of its target.
    pub pool: Name,
}

/// `[listen]`: the addresses that a target node binds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetListenSettings {
    /// The address for links from entry nodes.
    pub quic: SocketAddr,
    /// The address for metrics and health.
    pub admin: SocketAddr,
}

/// `[target]`: the inference engine or plain service beside the node, to which it forwards requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// The base URL of the target, without a trailing `/`.
    pub url: Name,
    /// Whether the target refuses an order with an outdated fencing number.
    pub honours_fencing: bool,
    /// The timeout for connecting to the target.
    pub connect_timeout_ms: u64,
}

impl TargetSettings {
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
            target: read_engine(&mut document),
            tls: TlsSettings::read(&mut document),
            telemetry: TelemetrySettings::read(&mut document),
            drain: DrainSettings::read(&mut document),
        };
        document.finish(settings)
    }
}

fn read_node(document: &mut Document) -> TargetNodeSettings {
    let mut section = document.section("node");
    let node = TargetNodeSettings {
        name: section.name("name"),
        data_centre: section.name("data_centre"),
        pool: section.name("pool"),
    };
    section.finish();
    node
}

fn read_listen(document: &mut Document) -> TargetListenSettings {
    let mut section = document.section("listen");
    let listen = TargetListenSettings {
        quic: section.address("quic"),
        admin: section.address("admin"),
    };
    section.finish();
    listen
}

fn read_engine(document: &mut Document) -> EngineSettings {
    let mut section = document.section("target");
    let engine = EngineSettings {
        url: section.url("url"),
        honours_fencing: section.boolean("honours_fencing", false),
        connect_timeout_ms: section.number("connect_timeout_ms", 10..=60_000, 1_000),
    };
    section.finish();
    engine
}
