//! The subcommand `quickstart`: a small fleet with stand-ins for the platform, in this process.

use eel_core::Exit;
use eel_local::quickstart;
use error_stack::{Report, ResultExt as _};

use crate::{error::Error, options::Format, print::print};

/// Runs the quickstart in a temporary directory and prints its outcome.
///
/// # Errors
///
/// Returns an error if the fleet cannot start or a request fails.
pub async fn run(format: Format) -> Result<Exit, Report<Error>> {
    let directory = tempfile::tempdir().change_context(Error::File)?;
    let options = quickstart::Options {
        directory: directory.path().to_owned(),
    };
    let outcome = quickstart::quickstart(&options)
        .await
        .change_context(Error::Command)?;
    print(&outcome, format)?;
    Ok(Exit::Success)
}
