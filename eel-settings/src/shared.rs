//! Sections that several kinds of nodes have in common.

use std::path::PathBuf;

use eel_types::Name;
use log::LevelFilter;

use crate::document::Document;

/// `[store]`: the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// The service's URLs, without a trailing `/`.
    pub endpoints: Vec<Name>,
    /// The prefix of all keys of this fleet; starts, but does not end, with `/`.
    pub prefix: Name,
    /// The timeout of a call.
    pub timeout_ms: u64,
    /// The time to live of the node's lease without renewal.
    pub lease_ttl_ms: u64,
}

impl StoreSettings {
    pub(crate) fn read(document: &mut Document) -> Self {
        let mut section = document.section("store");
        let settings = Self {
            endpoints: section.urls("endpoints"),
            prefix: section.absolute_prefix("prefix", "/eelgrassgap"),
            timeout_ms: section.number("timeout_ms", 10..=60_000, 1_000),
            lease_ttl_ms: section.number("lease_ttl_ms", 1_000..=600_000, 10_000),
        };
        section.finish();
        settings
    }
}

/// `[vm_list]`: the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListSettings {
    /// The URL of the VM list.
    pub url: Name,
    /// The interval between two reads of the list.
    pub poll_ms: u64,
}

impl VmListSettings {
    pub(crate) fn read(document: &mut Document) -> Self {
        let mut section = document.section("vm_list");
        let settings = Self {
            url: section.url("url"),
            poll_ms: section.number("poll_ms", 50..=60_000, 1_000),
        };
        section.finish();
        settings
    }
}

/// `[tls]`: the node's certificate and the fleet's certificate authority, as PEM files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// The certificate of the fleet's certificate authority.
    pub ca: PathBuf,
    /// The node's certificate.
    pub certificate: PathBuf,
    /// The node's private key.
    pub key: PathBuf,
}

impl TlsSettings {
    pub(crate) fn read(document: &mut Document) -> Self {
        let mut section = document.section("tls");
        let settings = Self {
            ca: section.path("ca"),
            certificate: section.path("certificate"),
            key: section.path("key"),
        };
        section.finish();
        settings
    }
}

/// The format and destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for people, written to standard error or the log file.
    Text,
    /// One JSON object per line for machines, written to standard output without blocking requests.
    Json,
}

/// `[telemetry]`: logs and traces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// The maximum verbosity of log lines.
    pub log_level: LevelFilter,
    /// The format and destination of log lines.
    pub log_format: LogFormat,
    /// The log file; `None` for standard error.
    pub log_file: Option<PathBuf>,
    /// The file that spans are appended to; `None` if spans are not written.
    pub trace_file: Option<PathBuf>,
    /// The percentage of requests that are traced.
    pub trace_sample_percent: u8,
}

impl TelemetrySettings {
    pub(crate) fn read(document: &mut Document) -> Self {
        let mut section = document.section("telemetry");
        let settings = Self {
            log_level: section.level("log_level", LevelFilter::Info),
            log_format: section.choice(
                "log_format",
                &[("text", LogFormat::Text), ("json", LogFormat::Json)],
                LogFormat::Text,
            ),
            log_file: section.optional_path("log_file"),
            trace_file: section.optional_path("trace_file"),
            trace_sample_percent: section.number("trace_sample_percent", 0..=100, 1),
        };
        section.finish();
        settings
    }
}

/// `[drain]`: graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// The maximum time that a shutdown waits for running requests.
    pub timeout_ms: u64,
}

impl DrainSettings {
    pub(crate) fn read(document: &mut Document) -> Self {
        let mut section = document.section("drain");
        let settings = Self {
            timeout_ms: section.number("timeout_ms", 0..=3_600_000, 120_000),
        };
        section.finish();
        settings
    }
}
