//! The subcommands `serve` and `gateway`, which run an entry node or a gateway node.

use std::{env, path::PathBuf};

use eel_core::Exit;
use error_stack::{Report, ResultExt as _};

use crate::{
    error::Error,
    options::{GatewayOptions, ServeOptions},
};

/// Runs an entry node until it is told to shut down.
///
/// # Errors
///
/// Returns an error if the node cannot start or fails while it runs.
pub async fn run(options: &ServeOptions) -> Result<Exit, Report<Error>> {
    eel_core::serve::entry(&options.settings)
        .await
        .change_context(Error::Node)?;
    Ok(Exit::Success)
}

/// Runs a gateway node until it is told to shut down.
///
/// # Errors
///
/// Returns an error if no settings file is given, or the node cannot start or fails while it runs.
pub async fn gateway(options: &GatewayOptions) -> Result<Exit, Report<Error>> {
    let path = settings_path(options).ok_or_else(|| {
        Report::new(Error::Node).attach("pass a settings file with --settings or --settings-env")
    })?;
    eel_core::serve::gateway(&path)
        .await
        .change_context(Error::Node)?;
    Ok(Exit::Success)
}

fn settings_path(options: &GatewayOptions) -> Option<PathBuf> {
    let from_env = || env::var_os(options.settings_env.as_ref()?).map(PathBuf::from);
    options.settings.clone().or_else(from_env)
}
