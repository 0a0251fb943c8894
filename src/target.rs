//! The target node.

#[path = "options/target.rs"]
mod options;

use std::process::ExitCode;

use options::{Options, Verb};

#[tokio::main]
async fn main() -> ExitCode {
    eel_core::install_report_format();
    let options: Options = argh::from_env();
    let ended = match &options.verb {
        Verb::Run(run) => eel_core::serve::target(&run.settings).await,
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
