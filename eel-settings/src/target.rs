//! Settings of a target node.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use eel_types::Name;
use error_stack::Report;

use crate::{DrainSettings, Error, TelemetrySettings, TlsSettings, document::Document};

const SECTIONS: [&str; 6] = ["node", "listen", "target", "tls", "telemetry", "drain"];

/// Settings of a target node, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// `[node]`.
    pub node: TargetNodeSettings,
    /// `[listen]`.
    pub listen: TargetListenSettings,
    /// `[target]`.
    pub target: EngineSettings,
    /// `[tls]`.
    pub tls: TlsSettings,
    /// `[telemetry]`.
    pub telemetry: TelemetrySettings,
    /// `[drain]`.
    pub drain: DrainSettings,
}

/// `[node]`: who a target node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetNodeSettings {
    /// The VM's name.
    pub name: Name,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// The pool that its target belongs to.
    pub pool: Name,
}

/// `[listen]`: the addresses that a target node binds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetListenSettings {
    /// Links from entry nodes.
    pub quic: SocketAddr,
    /// Metrics and health.
    pub admin: SocketAddr,
}

/// `[target]`: the engine or plain service beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// Its base URL, without a trailing `/`.
    pub url: Name,
    /// Whether it refuses an order that carries an old fencing number.
    pub honours_fencing: bool,
    /// How long connecting to it may take.
    pub connect_timeout_ms: u64,
}

impl TargetSettings {
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
