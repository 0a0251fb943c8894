//! The subcommands `keys`, `settings` and `explain`.

use eel_core::{
    Exit, explain, keys,
    settings_check::{self, Process},
};
use error_stack::{Report, ResultExt as _};
use rand::RngExt as _;

use crate::{
    error::Error,
    options::{ExplainOptions, Format, KeysCommand, KeysOptions, SettingsCommand, SettingsOptions},
    print::print,
};

pub fn keys(options: &KeysOptions, format: Format) -> Result<Exit, Report<Error>> {
    let options = match &options.command {
        KeysCommand::Ca(options) => keys::Options::Authority {
            directory: options.directory.clone(),
        },
        KeysCommand::Node(options) => keys::Options::Node {
            directory: options.directory.clone(),
            name: options.name.clone(),
            replace: options.replace,
        },
        KeysCommand::Caller(_) => keys::Options::Caller {
            secret: rand::rng().random(),
        },
    };
    let outcome = keys::keys(&options).change_context(Error::Command)?;
    print(&outcome, format)?;
    Ok(outcome.exit())
}

pub fn settings(options: &SettingsOptions, format: Format) -> Result<Exit, Report<Error>> {
    let SettingsCommand::Check(options) = &options.command;
    let options = settings_check::Options {
        file: options.file.clone(),
        process: match (options.target, options.gateway) {
            (_, true) => Process::Gateway,
            (true, false) => Process::Target,
            (false, false) => Process::Entry,
        },
    };
    let outcome = settings_check::settings_check(&options).change_context(Error::Command)?;
    print(&outcome, format)?;
    Ok(outcome.exit())
}

pub fn explain(options: &ExplainOptions, format: Format) -> Result<Exit, Report<Error>> {
    let options = explain::Options {
        id: options.id.clone(),
        files: options.files.clone(),
    };
    let outcome = explain::explain(&options).change_context(Error::Command)?;
    print(&outcome, format)?;
    Ok(outcome.exit())
}
