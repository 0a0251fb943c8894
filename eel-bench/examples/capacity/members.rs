//! Measures the size of the VM list and the time that the choice of links takes.

use std::{
    collections::BTreeMap,
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use eel_member::{Action, Event, Membership, Options};
use eel_types::{ListedState, ListedVm, Name};

use crate::point::{Point, print_row, to_f64};

const DATA_CENTRES: u32 = 7;
const POOLS: u32 = 11;
const ENTRIES: u32 = 360;
const TARGETS: [u32; 3] = [950, 1_900, 3_800];
const READS: u32 = 20;

/// Measures one entry node that reads lists with [`ENTRIES`] entry nodes and different numbers of targets.
pub fn measure() -> Result<(), Box<dyn Error>> {
    let mut rows: [Vec<Point>; 5] = Default::default();
    for targets in TARGETS {
        let vms = list(targets);
        let [links, first_us, decision_us, tick_us] = measure_entry(&vms);
        let bytes = to_f64(serde_json::to_vec(&vms)?.len() as u64);
        let measured = [bytes, first_us, decision_us, tick_us, links];
        for (row, y) in rows.iter_mut().zip(measured) {
            row.push(Point {
                x: targets.into(),
                y,
            });
        }
    }
    let names = [
        "VM list, bytes a read",
        "membership, us the first list read",
        "membership, us a further list read",
        "membership, us a tick",
        "links that one entry node opens",
    ];
    for (name, row) in names.iter().zip(&rows) {
        print_row(name, "targets", row);
    }
    Ok(())
}

/// Prints how many links a target gets from all entry nodes; takes most of a minute.
pub fn print_spread() {
    let [min, mean, max] = links_per_target(TARGETS[TARGETS.len() - 1]);
    println!(
        "| links to a target from {ENTRIES} entry nodes | least, mean, most | {min}; {mean:.2}; {max} | |"
    );
}

fn list(targets: u32) -> Vec<ListedVm> {
    let entries = (0..ENTRIES).map(|index| vm("entry", index, "entry"));
    let targets = (0..targets).map(|index| {
        // The division comes before the remainder, so that every pool has targets in every data centre.
        let pool = format!("pool-{:02}", index / DATA_CENTRES % POOLS);
        vm("target", index, &pool)
    });
    entries.chain(targets).collect()
}

fn vm(kind: &str, index: u32, pool: &str) -> ListedVm {
    ListedVm {
        name: format!("{kind}-{index:05}").as_str().into(),
        address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index), 7_000)),
        data_centre: data_centre(index),
        pool: pool.into(),
        state: ListedState::Live,
    }
}

fn data_centre(index: u32) -> Name {
    format!("dc-{}", index % DATA_CENTRES).as_str().into()
}

fn membership(entry: u32) -> Membership {
    let vm = format!("entry-{entry:05}").as_str().into();
    Membership::new(Options::new(vm, data_centre(entry)))
}

fn connects(actions: &[Action]) -> impl Iterator<Item = &Name> {
    actions.iter().filter_map(|action| match action {
        Action::Connect { vm, .. } => Some(vm),
        _ => None,
    })
}

/// Returns the number of links, the time of the first read, of a further read and of a tick, in microseconds.
fn measure_entry(vms: &[ListedVm]) -> [f64; 4] {
    let mut membership = membership(0);
    let first = vms.to_vec();
    let begin = Instant::now();
    let actions = membership.on_event(0, Event::ListRead { vms: first });
    let first_us = begin.elapsed().as_secs_f64() * 1e6;
    let links = connects(&actions).count() as u64;
    let lists: Vec<_> = (0..READS).map(|_| vms.to_vec()).collect();
    let begin = Instant::now();
    for vms in lists {
        membership.on_event(0, Event::ListRead { vms });
    }
    let read_us = begin.elapsed().as_secs_f64() * 1e6 / f64::from(READS);
    let begin = Instant::now();
    for _ in 0..READS {
        membership.on_event(0, Event::Tick);
    }
    let tick_us = begin.elapsed().as_secs_f64() * 1e6 / f64::from(READS);
    [to_f64(links), first_us, read_us, tick_us]
}

/// Returns the minimum, mean and maximum number of links per target.
fn links_per_target(targets: u32) -> [f64; 3] {
    let vms = list(targets);
    let listed = vms.iter().filter(|vm| vm.pool.as_str() != "entry");
    let mut links: BTreeMap<Name, u64> = listed.map(|vm| (vm.name.clone(), 0)).collect();
    for entry in 0..ENTRIES {
        let actions = membership(entry).on_event(0, Event::ListRead { vms: vms.clone() });
        for vm in connects(&actions) {
            *links.entry(vm.clone()).or_default() += 1;
        }
    }
    let total: u64 = links.values().sum();
    let min = links.values().min().copied().unwrap_or_default();
    let max = links.values().max().copied().unwrap_or_default();
    [to_f64(min), to_f64(total) / f64::from(targets), to_f64(max)]
}
