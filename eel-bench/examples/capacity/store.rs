//! Counts calls to the key-value service by an idle entry node and after changes of the configuration.

use std::{error::Error, time::Duration};

use eel_bench::testbed::Testbed;
use eel_store::{EtcdJson, EtcdOptions, KeyValue as _, Op, Txn};
use serde_json::json;

use crate::point::{Point, print_row, to_f64};

const WINDOWS_S: [u32; 3] = [4, 8, 12];
const CHANGES: [u32; 3] = [4, 8, 16];
const CHANGE_DELAY: Duration = Duration::from_millis(100);

/// Measures the entry node of `testbed`.
pub async fn measure(testbed: &Testbed) -> Result<(), Box<dyn Error>> {
    measure_idle(testbed).await;
    measure_changes(testbed).await
}

async fn measure_idle(testbed: &Testbed) {
    let mut rows: [Vec<Point>; 4] = Default::default();
    for window_s in WINDOWS_S {
        let (before, lists) = (testbed.store.counts(), testbed.vm_list.reads());
        tokio::time::sleep(Duration::from_secs(window_s.into())).await;
        let after = testbed.store.counts();
        let counts = [
            after.reads - before.reads,
            after.writes - before.writes,
            after.keep_alives - before.keep_alives,
            testbed.vm_list.reads() - lists,
        ];
        for (row, count) in rows.iter_mut().zip(counts) {
            row.push(Point {
                x: window_s.into(),
                y: to_f64(count),
            });
        }
    }
    let names = [
        "idle entry node, reads",
        "idle entry node, writes",
        "idle entry node, lease renewals",
        "idle entry node, reads of the VM list every 500 ms",
    ];
    for (name, row) in names.iter().zip(&rows) {
        print_row(name, "s", row);
    }
    let open_watches = testbed.store.counts().open_watches;
    println!("| idle entry node, waiting watches | one node | 1: {open_watches} | |");
}

async fn measure_changes(testbed: &Testbed) -> Result<(), Box<dyn Error>> {
    let store = EtcdJson::new(&EtcdOptions::new(testbed.store.url()))
        .map_err(|report| report.to_string())?;
    let mut rows: [Vec<Point>; 3] = Default::default();
    for changes in CHANGES {
        let before = testbed.store.counts();
        for change in 0..changes {
            let put = put_caller(&format!("caller-{changes}-{change}"));
            let committed = store.commit(&put).await;
            committed.map_err(|report| report.to_string())?;
            tokio::time::sleep(CHANGE_DELAY).await;
        }
        let after = testbed.store.counts();
        let counts = [
            after.reads - before.reads,
            after.writes - before.writes,
            after.bytes_out - before.bytes_out,
        ];
        for (row, count) in rows.iter_mut().zip(counts) {
            row.push(Point {
                x: changes.into(),
                y: to_f64(count),
            });
        }
    }
    let names = ["reads by one entry node", "writes", "bytes out"];
    for (name, row) in names.iter().zip(&rows) {
        print_row(&format!("configuration changes, {name}"), "changes", row);
    }
    Ok(())
}

fn put_caller(name: &str) -> Txn {
    let record = json!({
        "schema": 2, "kind": "caller", "name": name,
        "spec": {
            "keys_sha256": [format!("{:0>64}", "1")],
            "services": ["*"],
            "limits": { "rate_per_s": 1_000, "burst": 2_000, "concurrency": 500 },
        },
    });
    let key = format!("/eelgrassgap/config/caller/{name}");
    Txn {
        success: vec![Op::put(key, record.to_string())],
        ..Txn::default()
    }
}
