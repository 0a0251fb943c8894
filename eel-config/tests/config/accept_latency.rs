//! Benchmark: the time from sending a change until every node has it in force, and the resulting load on the store.
//!
//! `cargo test --release -p eel-config --test config accept_latency -- --ignored --nocapture`

use std::time::{Duration, Instant};

use eel_config::{NoPeers, Options};
use eel_standin::kv::{CallCounts, KvServer};
use eel_store::{EtcdJson, EtcdOptions};
use hdrhistogram::Histogram;

use crate::fixture::{Node, PREFIX, write};

const CHANGES: u32 = 100;
const IDLE_S: u64 = 30;

fn start(server: &KvServer) -> Node {
    let store = EtcdJson::new(&EtcdOptions::new(server.url())).expect("an HTTP client");
    Node::start_with_options(Options::new(PREFIX), store, NoPeers)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Writes changes one after the other and records the time until each is in force at each node.
async fn change(server: &KvServer, nodes: &mut [Node], latency_us: &mut Histogram<u64>) {
    for slots in 1..=CHANGES {
        let sent = Instant::now();
        let revision = write(server, &[("s", slots)]).await;
        let waits = nodes.iter_mut().map(|node| async move {
            node.wait_for_revision(revision).await;
            sent.elapsed()
        });
        for elapsed in futures_util::future::join_all(waits).await {
            latency_us.record(micros(elapsed)).expect("it resizes");
        }
    }
}

fn per(total: u64, count: u64) -> f64 {
    let total = u32::try_from(total).unwrap_or(u32::MAX);
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(total) / f64::from(count)
}

fn calls(before: CallCounts, after: CallCounts) -> u64 {
    let total = |c: CallCounts| c.reads + c.writes + c.keep_alives + c.watches_opened;
    total(after) - total(before)
}

async fn measure(nodes: usize) {
    let server = KvServer::start().await.expect("a free port");
    write(&server, &[("s", 1)]).await;
    let before = server.counts();
    let mut nodes: Vec<_> = (0..nodes).map(|_| start(&server)).collect();
    for node in &mut nodes {
        node.wait_for_slots("s", 1).await;
    }
    let count = nodes.len() as u64;
    while server.counts().open_watches < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let started = server.counts();
    let mut latency_us = Histogram::<u64>::new(3).expect("three digits");
    change(&server, &mut nodes, &mut latency_us).await;
    let changed = server.counts();
    tokio::time::sleep(Duration::from_secs(IDLE_S)).await;
    let idle = server.counts();
    let bytes = |before: CallCounts, after: CallCounts| {
        after.bytes_in + after.bytes_out - before.bytes_in - before.bytes_out
    };
    let change_calls = calls(started, changed) - u64::from(CHANGES);
    println!(
        "{count:5} {:6} {:6} {:6} | {:5.2} {:7} | {:6.3} {:5.0} | {:7.3} {:7.0}",
        latency_us.value_at_quantile(0.5),
        latency_us.value_at_quantile(0.99),
        latency_us.max(),
        per(calls(before, started), count),
        changed.open_watches,
        per(change_calls, u64::from(CHANGES) * count),
        per(bytes(started, changed), u64::from(CHANGES) * count),
        per(calls(changed, idle), count * IDLE_S),
        per(bytes(changed, idle), count * IDLE_S),
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "a measurement"]
async fn accept_latency() {
    println!("      sent to in force, us | start         | change+node  | idle node");
    println!("nodes    p50    p99    max | calls watches |  calls bytes | calls/s bytes/s");
    for nodes in [1, 10, 30, 90, 360] {
        measure(nodes).await;
    }
}
