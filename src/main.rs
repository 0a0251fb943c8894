//! The entry node and the command line of operators and callers.

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

use error::Error;
use options::{Options, Verb};

#[tokio::main]
async fn main() -> ExitCode {
    eel_core::install_report_format();
    let options: Options = argh::from_env();
    match run(options).await {
        Ok(exit) => ExitCode::from(exit.code()),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(report.current_context().exit().code())
        }
    }
}

async fn run(options: Options) -> Result<Exit, Report<Error>> {
    let connection = records::Connection {
        store: &options.store,
        prefix: &options.prefix,
        timeout_ms: options.timeout_ms,
        format: options.format,
    };
    match &options.verb {
        Verb::Serve(serve) => serve::run(serve).await,
        Verb::Check(check) => records::check(check, options.format),
        Verb::Plan(plan) => records::plan(plan, &connection).await,
        Verb::Apply(apply) => records::apply(apply, &connection).await,
        Verb::Get(get) => records::get(get, &connection).await,
        Verb::Status(status) => records::status(status, &connection).await,
        Verb::Job(job) => job::run(job, options.timeout_ms, options.format).await,
        Verb::Keys(keys) => setup::keys(keys, options.format),
        Verb::Settings(settings) => setup::settings(settings, options.format),
        #[cfg(feature = "bench")]
        Verb::Bench(bench) => bench::run(bench).await,
        #[cfg(feature = "bench")]
        Verb::Load(load) => bench::load(load).await,
        #[cfg(feature = "quickstart")]
        Verb::Quickstart(_) => quickstart::run(options.format).await,
    }
}
