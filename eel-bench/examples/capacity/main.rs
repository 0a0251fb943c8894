//! Measures the cost per unit of load (the slopes) that `docs/CAPACITY.md` is derived from, and prints one table.
//!
//! Everything runs in this process on loopback addresses and takes about a minute and a half. With the argument
//! `spread` it prints instead how the links of 360 entry nodes are distributed over 3,800 targets.

mod config;
mod links;
mod members;
mod path;
mod point;
mod store;

use std::error::Error;

use eel_bench::{
    nodes,
    testbed::{self, Testbed},
};
use eel_standin::engine::{Engine, EngineOptions};
use point::print_head;

/// The time between two tokens of the stand-in engine, in microseconds.
const STEP_US: u64 = 5_000;

fn main() -> Result<(), Box<dyn Error>> {
    if std::env::args()
        .nth(1)
        .is_some_and(|argument| argument == "spread")
    {
        members::print_spread();
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    print_head();
    config::measure()?;
    members::measure()?;
    runtime.block_on(links::measure())?;
    runtime.block_on(measure_nodes())
}

/// Measures one entry node with one target node.
async fn measure_nodes() -> Result<(), Box<dyn Error>> {
    let directory = std::env::temp_dir().join(format!("eel-capacity-{}", std::process::id()));
    let engine = Engine::start(EngineOptions {
        step_us: STEP_US,
        ..EngineOptions::default()
    })
    .await;
    let testbed = testbed::start(&testbed::Options {
        directory: directory.clone(),
        targets: 1,
        engine_url: Some(engine.url()),
    })
    .await
    .map_err(|report| report.to_string())?;
    let measured = measure_on(&testbed).await;
    std::fs::remove_dir_all(&directory)?;
    measured
}

async fn measure_on(testbed: &Testbed) -> Result<(), Box<dyn Error>> {
    let nodes = nodes::start(testbed)
        .await
        .map_err(|report| report.to_string())?;
    store::measure(testbed).await?;
    path::measure(testbed).await?;
    // Dropping the nodes joins their threads, which would block a worker of the runtime.
    tokio::task::spawn_blocking(move || drop(nodes)).await?;
    Ok(())
}
