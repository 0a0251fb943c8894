//! `serve`: runs an entry node.

use eel_core::Exit;
use eel_settings::EntrySettings;
use error_stack::{Report, ResultExt as _};

use crate::{error::Error, options::ServeOptions};

/// Runs an entry node until it is told to stop.
pub async fn run(options: &ServeOptions) -> Result<Exit, Report<Error>> {
    let settings = EntrySettings::load(&options.settings).change_context(Error::Node)?;
    serve(settings).await
}

async fn serve(settings: EntrySettings) -> Result<Exit, Report<Error>> {
    std::future::ready(()).await;
    let name = settings.node.name;
    Err(Report::new(Error::Node).attach(format!("{name}: the entry node is not built yet")))
}
