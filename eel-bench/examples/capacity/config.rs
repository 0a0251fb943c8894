//! Measures the size of a configuration snapshot and the time to build, serialise and deserialise it.

use std::{error::Error, hint::black_box, time::Instant};

use eel_record::{Snapshot, StoredRecord};
use eel_types::Revision;
use serde_json::json;

use crate::point::{Point, print_row, to_f64};

const SIZES: [u32; 3] = [300, 600, 1_200];
const ROUNDS: u32 = 20;

/// Measures snapshots of caller records.
pub fn measure() -> Result<(), Box<dyn Error>> {
    let mut rows: [Vec<Point>; 4] = Default::default();
    for size in SIZES {
        for (row, y) in rows.iter_mut().zip(snapshot(size)?) {
            row.push(Point { x: size.into(), y });
        }
    }
    let [bytes, build, write, read] = rows;
    print_row("snapshot on a link, bytes", "records", &bytes);
    print_row("snapshot built from the store, us", "records", &build);
    print_row("snapshot written, us", "records", &write);
    print_row("snapshot read, us", "records", &read);
    Ok(())
}

/// Returns the size in bytes and the times to build, serialise and deserialise a snapshot, in microseconds.
fn snapshot(size: u32) -> Result<[f64; 4], Box<dyn Error>> {
    let records: Vec<_> = (0..size).map(caller).collect();
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        black_box(build(&records));
    }
    let build_us = micros(begin);
    let snapshot = build(&records);
    if snapshot.callers.len() != records.len() {
        return Err("a record is not in force".into());
    }
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        black_box(serde_json::to_vec(&snapshot)?);
    }
    let write_us = micros(begin);
    let json = serde_json::to_vec(&snapshot)?;
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        black_box(serde_json::from_slice::<Snapshot>(&json)?);
    }
    Ok([to_f64(json.len() as u64), build_us, write_us, micros(begin)])
}

/// Returns the time of one of [`ROUNDS`] rounds since `begin`, in microseconds.
fn micros(begin: Instant) -> f64 {
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn build(records: &[StoredRecord]) -> Snapshot {
    let records = records.iter().cloned();
    Snapshot::from_records(Revision(1), &Snapshot::default(), records).snapshot
}

fn caller(index: u32) -> StoredRecord {
    let name = format!("caller-{index:04}");
    let record = json!({
        "schema": 2, "kind": "caller", "name": name,
        "spec": {
            "keys_sha256": [format!("{index:064x}")],
            "services": ["*"],
            "limits": { "rate_per_s": 1_000, "burst": 2_000, "concurrency": 500 },
        },
    });
    StoredRecord {
        path: format!("caller/{name}").as_str().into(),
        revision: Revision(1),
        value: record.to_string().into_bytes(),
    }
}
