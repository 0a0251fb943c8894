//! Installs the logger. A line has a timestamp, a level, the component as its target, and a message.

use std::path::PathBuf;

use error_stack::{Report, ResultExt as _};
use fern::Dispatch;
use log::LevelFilter;

use crate::{Error, json_lines::JsonLines};

/// Level and destination of log lines.
#[derive(Clone, Debug)]
pub struct Options {
    /// The maximum verbosity of the lines.
    pub level: LevelFilter,
    /// The file to append to; `None` for standard error.
    pub file: Option<PathBuf>,
}

/// Installs a logger that writes one JSON object per line to standard output and never blocks.
///
/// # Errors
///
/// Returns [`Error::LoggerInstalled`] if a logger is already installed or its thread cannot be started.
pub fn install_json(level: LevelFilter) -> Result<(), Report<Error>> {
    let lines = JsonLines::start(level).change_context(Error::LoggerInstalled)?;
    log::set_boxed_logger(Box::new(lines)).change_context(Error::LoggerInstalled)?;
    log::set_max_level(level);
    Ok(())
}

/// Installs a logger that writes text lines.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be opened, or [`Error::LoggerInstalled`] if a logger is already
/// installed.
pub fn install(options: &Options) -> Result<(), Report<Error>> {
    let started = std::time::SystemTime::UNIX_EPOCH;
    let lines = Dispatch::new()
        .format(move |out, message, record| {
            let unix_ms = started.elapsed().map_or(0, |since| since.as_millis());
            out.finish(format_args!(
                "{unix_ms} {level:<5} {part}: {message}",
                level = record.level(),
                part = record.target(),
            ));
        })
        .level(options.level)
        .level_for("quinn", LevelFilter::Warn)
        .level_for("quinn_proto", LevelFilter::Warn)
        .level_for("rustls", LevelFilter::Warn);
    let lines = match &options.file {
        Some(path) => lines.chain(fern::log_file(path).change_context(Error::File)?),
        None => lines.chain(std::io::stderr()),
    };
    lines.apply().change_context(Error::LoggerInstalled)
}
