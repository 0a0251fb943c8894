//! Log lines: time, level, the fixed prefix of the part that speaks, and a short sentence.

use std::path::PathBuf;

use error_stack::{Report, ResultExt as _};
use fern::Dispatch;
use log::LevelFilter;

use crate::{Error, json_lines::JsonLines};

/// Where log lines go and which.
#[derive(Clone, Debug)]
pub struct Options {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// The file to append to; standard error if there is none.
    pub file: Option<PathBuf>,
}

/// Installs a logger that writes one JSON object a line to standard output and never blocks.
///
/// # Errors
///
/// [`Error::LoggerInstalled`] on a second call or if its thread cannot be started.
pub fn install_json(level: LevelFilter) -> Result<(), Report<Error>> {
    let lines = JsonLines::start(level).change_context(Error::LoggerInstalled)?;
    log::set_boxed_logger(Box::new(lines)).change_context(Error::LoggerInstalled)?;
    log::set_max_level(level);
    Ok(())
}

/// Installs the process's logger.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be opened, [`Error::LoggerInstalled`] on a second call.
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
