//! Load reports between nodes: order, expiry and encoding.
//!
//! Datagrams may arrive out of order or not at all. The tests guard against an older report that replaces a newer one,
//! and against the load of a silent peer that keeps slots occupied.

use eel_fleet::{PeerReport, TargetLoad, WaitingCount, WorkKind};
use quickcheck::QuickCheck;

use crate::fixture::{chosen, report, selector};

#[test]
fn older_report_is_dropped() {
    let mut selector = selector(&[("a", "dc-a", 1)]);
    assert!(selector.on_report(0, &report(5, 2, &[])));
    assert!(!selector.on_report(1, &report(5, 1, &[("a", 1, 0)])));
    assert!(chosen(&selector, 2, WorkKind::Online).is_some());
}

#[test]
fn silent_peer_expires() {
    let mut selector = selector(&[("a", "dc-a", 1)]);
    selector.on_report(0, &report(5, 1, &[("a", 1, 0)]));
    assert_eq!(chosen(&selector, 999, WorkKind::Online), None);
    assert!(chosen(&selector, 1_000, WorkKind::Online).is_some());
}

#[test]
fn newer_report_replaces() {
    let mut selector = selector(&[("a", "dc-a", 1)]);
    selector.on_report(0, &report(5, 1, &[("a", 1, 0)]));
    selector.on_report(1, &report(5, 2, &[]));
    assert!(chosen(&selector, 2, WorkKind::Online).is_some());
}

#[test]
fn datagram_round_trip() {
    fn holds(
        token: u64,
        sender: u64,
        loads: Vec<(u64, u16, u16)>,
        waiting: Vec<(u64, u16)>,
    ) -> bool {
        let report = PeerReport {
            token,
            sender,
            targets: loads
                .into_iter()
                .map(|(target, online, batch)| TargetLoad {
                    target,
                    online,
                    batch,
                })
                .collect(),
            waiting: waiting
                .into_iter()
                .map(|(service, waiting)| WaitingCount { service, waiting })
                .collect(),
            ..PeerReport::default()
        };
        let datagram = report.encode().expect("a datagram");
        PeerReport::decode(&datagram) == Ok(report)
    }
    QuickCheck::new()
        .quickcheck(holds as fn(u64, u64, Vec<(u64, u16, u16)>, Vec<(u64, u16)>) -> bool);
}

#[test]
fn truncated_datagram() {
    let whole = report(5, 1, &[("a", 1, 2), ("b", 3, 4)])
        .encode()
        .expect("a datagram");
    for length in 0..whole.len() {
        assert!(
            PeerReport::decode(&whole[..length]).is_err(),
            "{length} of {} bytes",
            whole.len()
        );
    }
}
