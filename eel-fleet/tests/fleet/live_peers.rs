//! Liveness of other nodes, by their entries in the store and their reports.
//!
//! A node must not count as dead while only its reports or only its entry is missing: a network fault between two nodes
//! hides the reports, an outage of the store removes the entry.

use std::net::{IpAddr, Ipv4Addr};

use eel_fleet::{NodeEntry, PeerReport, Peers};
use eel_types::Name;

fn entry(incarnation: u64) -> NodeEntry {
    NodeEntry {
        incarnation,
        token: 1,
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        port: 7_660,
        runs_batch: true,
    }
}

fn report(sender: u64, takes_batch: bool) -> PeerReport {
    PeerReport {
        sender,
        takes_batch,
        reaches_store: true,
        ..PeerReport::default()
    }
}

#[test]
fn listed_without_reports() {
    let mut peers = Peers::default();
    peers.on_entry(&"b".into(), entry(7));
    assert!(
        peers.is_live(60_000, "b"),
        "only the network between the two nodes may have failed"
    );
    assert_eq!(peers.batch_nodes(60_000).count(), 1);
    peers.on_removed(60_000, "b");
    assert!(!peers.is_live(60_000, "b"));
    assert_eq!(peers.receivers().count(), 0);
}

#[test]
fn entry_removed() {
    let mut peers = Peers::default();
    peers.on_entry(&"b".into(), entry(7));
    peers.on_report(1_600, &report(7, true));
    peers.on_removed(1_700, "b");
    assert!(peers.is_live(3_599, "b"), "its reports still arrive");
    assert!(!peers.is_live(3_600, "b"));
    peers.on_removed(5_000, "b");
    assert_eq!(peers.receivers().count(), 0);
}

#[test]
fn earlier_incarnation() {
    let mut peers = Peers::default();
    let name = Name::from("b");
    peers.on_entry(&name, entry(7));
    peers.on_entry(&name, entry(8));
    peers.on_report(5_000, &report(7, true));
    peers.on_removed(5_000, "b");
    assert!(
        !peers.is_live(5_001, "b"),
        "a report of the earlier incarnation does not count for the later one"
    );
}

#[test]
fn batch_only_where_taken() {
    let mut peers = Peers::default();
    peers.on_entry(&"b".into(), entry(7));
    peers.on_report(10, &report(7, false));
    assert_eq!(peers.batch_nodes(20).count(), 0);
    assert!(peers.is_store_reachable(20));
    peers.on_report(30, &report(7, true));
    assert_eq!(peers.batch_nodes(40).count(), 1);
}

#[test]
fn entry_round_trip() {
    let encoded = entry(9).encode();
    assert_eq!(NodeEntry::decode(&encoded), Some(entry(9)));
    assert_eq!(NodeEntry::decode(b""), None);
}

#[test]
fn overtaken_report() {
    let mut peers = Peers::default();
    peers.on_entry(&"b".into(), entry(7));
    let numbered = |sequence, takes_batch| PeerReport {
        sequence,
        ..report(7, takes_batch)
    };
    peers.on_report(1_000, &numbered(3, true));
    peers.on_report(1_100, &numbered(4, false));
    assert!(!peers.on_report(1_200, &numbered(3, true)));
    let takes_batch = peers.batch_nodes(1_200).count();
    peers.on_removed(1_300, "b");
    let is_live = peers.is_live(3_100, "b");
    assert_eq!(
        (takes_batch, is_live),
        (0, false),
        "an earlier report that comes late, or twice, counts as the latest"
    );
    peers.on_report(3_200, &numbered(5, true));
    assert!(peers.is_live(3_200, "b"));
}
