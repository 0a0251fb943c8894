//! The target node.

#[path = "options/target.rs"]
mod options;

use std::process::ExitCode;

use eel_settings::TargetSettings;
use error_stack::{Report, ResultExt as _};
use thiserror::Error as ThisError;

use options::{Options, RunOptions, Verb};

/// Why the target node ended.
#[derive(Debug, ThisError)]
enum Error {
    /// The process could not be started, or ended early.
    #[error("the node stopped")]
    Node,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let ended = match &options.verb {
        Verb::Run(run) => start(run).await,
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn start(options: &RunOptions) -> Result<(), Report<Error>> {
    let settings = TargetSettings::load(&options.settings).change_context(Error::Node)?;
    run(settings).await
}

async fn run(settings: TargetSettings) -> Result<(), Report<Error>> {
    std::future::ready(()).await;
    let name = settings.node.name;
    Err(Report::new(Error::Node).attach(format!("{name}: the target node is not built yet")))
}
