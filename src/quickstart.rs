//! `quickstart`: a small fleet with stand-ins of the platform, in this process.

use eel_core::Exit;
use eel_local::quickstart;
use error_stack::{Report, ResultExt as _};

use crate::{error::Error, options::Format, print::print};

/// Runs the quickstart in a temporary directory and prints what it did.
///
/// # Errors
///
/// [`Error`] if a part of it fails.
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
