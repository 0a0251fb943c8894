//! Which other nodes count as alive.

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

fn heard(sender: u64, takes_batch: bool) -> PeerReport {
    PeerReport {
        sender,
        takes_batch,
        reaches_store: true,
        ..PeerReport::default()
    }
}

#[test]
fn alive_while_heard() {
    let mut peers = Peers::default();
    let name = Name::from("b");
    peers.on_entry(0, &name, entry(7));
    assert!(
        peers.is_live(1_499, "b"),
        "its first report may be on its way"
    );
    assert!(!peers.is_live(1_500, "b"));
    peers.on_report(1_600, &heard(7, true));
    assert!(peers.is_live(3_599, "b"));
    assert!(!peers.is_live(3_600, "b"));
}

#[test]
fn entry_taken_away() {
    let mut peers = Peers::default();
    let name = Name::from("b");
    peers.on_entry(0, &name, entry(7));
    peers.on_report(100, &heard(7, true));
    peers.on_removed(200, "b");
    assert!(peers.is_live(300, "b"), "its reports still come");
    peers.on_removed(5_000, "b");
    assert_eq!(peers.receivers().count(), 0);
}

#[test]
fn earlier_incarnation() {
    let mut peers = Peers::default();
    let name = Name::from("b");
    peers.on_entry(0, &name, entry(7));
    peers.on_entry(10, &name, entry(8));
    peers.on_report(5_000, &heard(7, true));
    assert!(
        !peers.is_live(5_001, "b"),
        "a report of the earlier incarnation says nothing of this one"
    );
}

#[test]
fn batch_only_where_taken() {
    let mut peers = Peers::default();
    peers.on_entry(0, &"b".into(), entry(7));
    peers.on_report(10, &heard(7, false));
    assert_eq!(peers.batch_nodes(20).count(), 0);
    assert!(peers.is_store_reached(20));
    peers.on_report(30, &heard(7, true));
    assert_eq!(peers.batch_nodes(40).count(), 1);
}

#[test]
fn entry_round_trip() {
    let encoded = entry(9).encode();
    assert_eq!(NodeEntry::decode(&encoded), Some(entry(9)));
    assert_eq!(NodeEntry::decode(b""), None);
}
