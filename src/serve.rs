//! `serve`: runs an entry node.

use eel_core::Exit;
use error_stack::{Report, ResultExt as _};

use crate::{error::Error, options::ServeOptions};

/// Runs an entry node until it is told to end.
///
/// # Errors
///
/// [`Error`] if the node cannot start or go on.
pub async fn run(options: &ServeOptions) -> Result<Exit, Report<Error>> {
    eel_core::serve::entry(&options.settings)
        .await
        .change_context(Error::Node)?;
    Ok(Exit::Success)
}
