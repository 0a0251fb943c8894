//! The `eelgrassgap-target` binary, which runs a target node.

#[path = "options/target.rs"]
mod options;

use std::process::ExitCode;

use options::{Command, Options};

#[tokio::main]
async fn main() -> ExitCode {
    eel_core::install_report_format();
    let options: Options = argh::from_env();
    let ended = match &options.command {
        Command::Run(run) => eel_core::serve::target(&run.settings).await,
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
