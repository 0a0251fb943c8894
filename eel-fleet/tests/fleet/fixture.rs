//! Targets, reports and requests for the tests.

use std::net::SocketAddr;

use eel_fleet::{
    Arrival, PeerReport, TargetEntry, TargetLoad, TargetQuery, TargetSelector, WorkKind,
    stable_hash,
};
use eel_types::Name;

pub const SERVICE: &str = "scribe";

pub fn target(id: &str, data_centre: &str, slots: u32) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        started_unix_ms: Some(1),
        service: SERVICE.into(),
        version: Some("v1".into()),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: data_centre.into(),
        slots,
        is_draining: false,
    }
}

pub fn selector(targets: &[(&str, &str, u32)]) -> TargetSelector {
    let mut selector = TargetSelector::default();
    for (id, data_centre, slots) in targets {
        selector.set_target(target(id, data_centre, *slots));
    }
    selector
}

pub fn query(work: WorkKind) -> TargetQuery<'static> {
    TargetQuery {
        work,
        data_centre: "dc-a",
        excluded: &[],
        version: None,
        only_limited: false,
        left_ms: None,
        tie_breaker: 7,
    }
}

pub fn chosen(selector: &TargetSelector, now_ms: u64, work: WorkKind) -> Option<String> {
    let key = selector.choose(now_ms, SERVICE, &query(work))?;
    selector
        .entry(key)
        .map(|entry| entry.id.as_str().to_owned())
}

/// Builds a peer's report from its load at each target: target id, online requests, batch items.
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
        tenant: None,
        tenant_priority: 0,
        priority: 0,
        start_by_ms,
        give_up_ms,
        accepts_late: false,
        excluded: Vec::new(),
        version: None,
        tie_breaker: 1,
    }
}
