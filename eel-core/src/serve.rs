//! Runs entry, target and gateway nodes until they are told to shut down.

use std::path::{Path, PathBuf};

use eel_entry::EntryNode;
use eel_gateway::GatewayNode;
use eel_settings::{EntrySettings, GatewaySettings, LogFormat, TargetSettings, TelemetrySettings};
use eel_supervise::Shutdown;
use eel_target::TargetNode;
use eel_telemetry::{logs, trace};
use error_stack::{Report, ResultExt as _};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Reasons why a node stops with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be read or is invalid.
    #[error("cannot load the settings")]
    Settings,
    /// The logger or the trace exporter cannot be set up.
    #[error("cannot set up telemetry")]
    Telemetry,
    /// A signal handler cannot be installed.
    #[error("cannot install a signal handler")]
    Signals,
    /// The node cannot start, or fails while it runs.
    #[error("cannot run the node")]
    Node,
}

/// Runs an entry node with the settings at `path`; ignores SIGHUP.
///
/// # Errors
///
/// Returns an error if the node cannot start or fails while it runs.
pub async fn entry(path: &Path) -> Result<(), Report<Error>> {
    ignore_hangups()?;
    let settings = EntrySettings::load(path).change_context(Error::Settings)?;
    install_telemetry(&settings.telemetry)?;
    let node = EntryNode::bind(&settings)
        .await
        .change_context(Error::Node)?;
    let http = node.http_address().change_context(Error::Node)?;
    let admin = node.admin_address().change_context(Error::Node)?;
    log::info!(target: "node", "Callers are served at {http}.");
    log::info!(target: "node", "Metrics are served at {admin}.");
    let ended = node.run(shutdown_by_signals()?).await;
    trace::flush();
    ended.change_context(Error::Node)
}

/// Runs a target node with the settings at `path`; ignores SIGHUP.
///
/// # Errors
///
/// Returns an error if the node cannot start or fails while it runs.
pub async fn target(path: &Path) -> Result<(), Report<Error>> {
    ignore_hangups()?;
    let settings = TargetSettings::load(path).change_context(Error::Settings)?;
    install_telemetry(&settings.telemetry)?;
    let node = TargetNode::bind(&settings)
        .await
        .change_context(Error::Node)?;
    let quic = node.quic_address().change_context(Error::Node)?;
    let admin = node.admin_address();
    log::info!(target: "node", "Links are accepted at {quic}.");
    log::info!(target: "node", "Metrics are served at {admin}.");
    let ended = node.run(shutdown_by_signals()?).await;
    trace::flush();
    ended.change_context(Error::Node)
}

/// Runs a gateway node with the settings at `path`, and reloads them on SIGHUP.
///
/// # Errors
///
/// Returns an error if the node cannot start or fails while it runs.
pub async fn gateway(path: &Path) -> Result<(), Report<Error>> {
    // Installs the signal handlers first: without one, a SIGHUP during the start would end the process.
    let hangups = signal(SignalKind::hangup()).change_context(Error::Signals)?;
    let shutdown = shutdown_by_signals()?;
    let settings = GatewaySettings::load(path).change_context(Error::Settings)?;
    install_telemetry(&settings.telemetry)?;
    let node = GatewayNode::bind(&settings)
        .await
        .change_context(Error::Node)?;
    tokio::spawn(reload_on_hangup(hangups, path.to_owned(), settings));
    let ended = node.run(shutdown).await;
    trace::flush();
    ended.change_context(Error::Node)
}

/// Installs a handler for SIGHUP, whose default action ends the process without a drain.
fn ignore_hangups() -> Result<(), Report<Error>> {
    let mut signals = signal(SignalKind::hangup()).change_context(Error::Signals)?;
    tokio::spawn(async move {
        while signals.recv().await.is_some() {
            log::info!(target: "node", "SIGHUP is ignored: settings are read at the start only.");
        }
    });
    Ok(())
}

/// Reloads the settings on each signal. A changed log level takes effect at once, other changes with the next start.
async fn reload_on_hangup(mut signals: Signal, path: PathBuf, mut in_force: GatewaySettings) {
    while signals.recv().await.is_some() {
        match GatewaySettings::load(&path) {
            Ok(settings) => {
                let level = settings.telemetry.log_level;
                let changed = settings != in_force;
                log::set_max_level(level);
                log::info!(target: "node", changed, level:% = level; "The settings were reloaded.");
                in_force = settings;
            }
            Err(error) => {
                log::error!(target: "node", error:% = error; "Cannot reload the settings; the previous ones stay in force.");
            }
        }
    }
}

fn install_telemetry(settings: &TelemetrySettings) -> Result<(), Report<Error>> {
    match settings.log_format {
        LogFormat::Json => logs::install_json(settings.log_level),
        LogFormat::Text => logs::install(&logs::Options {
            level: settings.log_level,
            file: settings.log_file.clone(),
        }),
    }
    .change_context(Error::Telemetry)?;
    if let Some(path) = &settings.trace_file {
        trace::install_file(path).change_context(Error::Telemetry)?;
    }
    Ok(())
}

/// Installs handlers for SIGTERM and SIGINT: the first signal drains the node, the second ends it at once.
fn shutdown_by_signals() -> Result<Shutdown, Report<Error>> {
    let shutdown = Shutdown::default();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let signals = signal(kind).change_context(Error::Signals)?;
        tokio::spawn(forward_signals(signals, shutdown.clone()));
    }
    Ok(shutdown)
}

async fn forward_signals(mut signals: Signal, shutdown: Shutdown) {
    while signals.recv().await.is_some() {
        shutdown.on_signal();
    }
}
