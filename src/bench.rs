//! The subcommands `bench` and `load`: measure the path from an entry node to a target.

use bytes::Bytes;
use eel_bench::{
    compare::{self, Pair},
    load::{self, Arrivals},
    nodes, testbed,
};
use eel_core::Exit;
use error_stack::{Report, ResultExt as _};

use crate::{
    error::Error,
    options::{BenchOptions, LoadOptions},
};

const BODY_BYTES: usize = 512;
const CLOSED_CLIENTS: u32 = 64;
const DEFAULT_RATES_PER_S: [u32; 2] = [1_000, 5_000];

/// Runs the comparison, or with `--stage` only its stand-ins.
///
/// # Errors
///
/// Returns an error if the stand-ins or nodes cannot start, or a load cannot be run.
pub async fn run(options: &BenchOptions) -> Result<Exit, Report<Error>> {
    if options.stage.is_some() {
        return run_testbed(options).await;
    }
    if !options.pair.is_empty() {
        return compare_pairs(options, options.pair.clone()).await;
    }
    let directory = tempfile::tempdir().change_context(Error::File)?;
    let testbed = start_testbed(options, directory.path()).await?;
    let nodes = nodes::start(&testbed)
        .await
        .change_context(Error::Command)?;
    let exit = compare_pairs(options, vec![pair_of(&testbed)]).await;
    drop(nodes);
    exit
}

/// Sends load to a URL and prints the measurements.
///
/// # Errors
///
/// Returns an error if the load cannot be run.
pub async fn load(options: &LoadOptions) -> Result<Exit, Report<Error>> {
    let arrivals = match options.rate {
        0 => Arrivals::Closed {
            clients: CLOSED_CLIENTS,
        },
        rate_per_s => Arrivals::Open { rate_per_s },
    };
    let options = load::Options {
        url: options.url.clone(),
        key: options.key.clone(),
        body: body(options.body_bytes),
        arrivals,
        seconds: options.seconds,
    };
    let outcome = load::run(&options).await.change_context(Error::Command)?;
    println!("{outcome}");
    Ok(Exit::Success)
}

async fn run_testbed(options: &BenchOptions) -> Result<Exit, Report<Error>> {
    let directory = options.stage.clone().unwrap_or_default();
    let testbed = start_testbed(options, &directory).await?;
    println!(
        "{},{},key={}",
        testbed.direct_url,
        testbed.path_url,
        testbed::CALLER_KEY
    );
    tokio::signal::ctrl_c()
        .await
        .change_context(Error::Command)?;
    Ok(Exit::Success)
}

async fn start_testbed(
    options: &BenchOptions,
    directory: &std::path::Path,
) -> Result<testbed::Testbed, Report<Error>> {
    let options = testbed::Options {
        directory: directory.to_owned(),
        targets: options.targets,
        engine_url: options.engine_url.clone(),
    };
    testbed::start(&options)
        .await
        .change_context(Error::Command)
}

fn pair_of(testbed: &testbed::Testbed) -> Pair {
    Pair {
        name: "eelgrassgap".to_owned(),
        direct_url: testbed.direct_url.clone(),
        path_url: testbed.path_url.clone(),
        key: Some(testbed::CALLER_KEY.to_owned()),
        pids: vec![std::process::id()],
    }
}

async fn compare_pairs(options: &BenchOptions, pairs: Vec<Pair>) -> Result<Exit, Report<Error>> {
    let rates_per_s = match options.rate.as_slice() {
        [] => DEFAULT_RATES_PER_S.to_vec(),
        rates => rates.to_vec(),
    };
    let options = compare::Options {
        pairs,
        rates_per_s,
        clients: options.clients,
        seconds: options.seconds,
        rounds: options.rounds,
        body: body(BODY_BYTES),
    };
    let outcome = compare::run(&options)
        .await
        .change_context(Error::Command)?;
    print!("{outcome}");
    Ok(Exit::Success)
}

fn body(length: usize) -> Bytes {
    vec![b'y'; length].into()
}
