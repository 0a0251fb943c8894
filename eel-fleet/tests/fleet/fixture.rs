//! Targets, wishes and arrivals for the tests.

use std::net::SocketAddr;

use eel_fleet::{Arrival, Board, PeerReport, TargetEntry, TargetLoad, Wish, Work, stable_hash};
use eel_types::Name;

pub const SERVICE: &str = "scribe";

pub fn target(id: &str, data_centre: &str, slots: u32) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        born_unix_ms: Some(1),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: data_centre.into(),
        slots,
        is_draining: false,
    }
}

pub fn board(targets: &[(&str, &str, u32)]) -> Board {
    let mut board = Board::default();
    for (id, data_centre, slots) in targets {
        board.set_target(target(id, data_centre, *slots));
    }
    board
}

pub fn wish(work: Work) -> Wish<'static> {
    Wish {
        work,
        data_centre: "dc-a",
        excluded: &[],
        spread: 7,
    }
}

pub fn chosen(board: &Board, now_ms: u64, work: Work) -> Option<String> {
    let key = board.choose(now_ms, SERVICE, &wish(work))?;
    board.entry(key).map(|entry| entry.id.as_str().to_owned())
}

/// A peer's report of what it has in flight at each target: online, then batch.
pub fn report(sender: u64, sequence: u64, loads: &[(&str, u16, u16)]) -> PeerReport {
    let targets = loads.iter().map(|(id, online, batch)| TargetLoad {
        target: stable_hash(id),
        online: *online,
        batch: *batch,
    });
    PeerReport {
        sender,
        sequence,
        targets: targets.collect(),
        ..PeerReport::default()
    }
}

pub fn arrival(service: &Name, start_by_ms: u64, give_up_ms: u64) -> Arrival<'_> {
    Arrival {
        service,
        priority: 0,
        start_by_ms,
        give_up_ms,
        excluded: Vec::new(),
        spread: 1,
    }
}
