//! The `eelgrassgap` binary: runs entry and gateway nodes, and is the command-line tool of operators and callers.

#[cfg(feature = "bench")]
mod bench;
mod error;
mod job;
mod options;
mod print;
#[cfg(feature = "quickstart")]
mod quickstart;
mod records;
mod serve;
mod setup;

use std::process::ExitCode;

use eel_core::Exit;
use error_stack::Report;
use tokio::runtime::{Builder, Runtime};

use error::Error;
use options::{Command, Options};

fn main() -> ExitCode {
    eel_core::install_report_format();
    let options: Options = argh::from_env();
    let runtime = match runtime_for(&options.command) {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(options)) {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(report.current_context().exit().code())
        }
    }
}

/// Builds the async runtime. A gateway node runs on small VMs, where a single thread avoids thread switches.
fn runtime_for(command: &Command) -> std::io::Result<Runtime> {
    let mut builder = match command {
        Command::Gateway(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

async fn run(options: Options) -> Result<Exit, Report<Error>> {
    let connection = records::Connection {
        store: &options.store,
        prefix: &options.prefix,
        timeout_ms: options.timeout_ms,
        format: options.format,
    };
    match &options.command {
        Command::Serve(serve) => serve::run(serve).await,
        Command::Gateway(gateway) => serve::gateway(gateway).await,
        Command::Check(check) => records::check(check, options.format),
        Command::Plan(plan) => records::plan(plan, &connection).await,
        Command::Apply(apply) => records::apply(apply, &connection).await,
        Command::Get(get) => records::get(get, &connection).await,
        Command::Status(status) => records::status(status, &connection).await,
        Command::Job(job) => job::run(job, options.timeout_ms, options.format).await,
        Command::Keys(keys) => setup::keys(keys, options.format),
        Command::Settings(settings) => setup::settings(settings, options.format),
        Command::Explain(explain) => setup::explain(explain, options.format),
        #[cfg(feature = "bench")]
        Command::Bench(bench) => bench::run(bench).await,
        #[cfg(feature = "bench")]
        Command::Load(load) => bench::load(load).await,
        #[cfg(feature = "quickstart")]
        Command::Quickstart(_) => quickstart::run(options.format).await,
    }
}
