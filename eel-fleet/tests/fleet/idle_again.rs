//! Slots that are idle again without a report that names their target, while no online request comes.

use eel_fleet::{Dispatcher, PeerReport};

use crate::fixture::{SERVICE, report, target};

const PEER: u64 = 99;
/// When the peer has filled the only target.
const FULL_MS: u64 = 1_000;
/// How often a node tries to start batch items, in ms.
const TICK_MS: u64 = 200;

fn full() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("dc-a".into());
    dispatcher
        .selector_mut()
        .set_target(target("t1", "dc-a", 2));
    dispatcher.on_report(FULL_MS, &report(PEER, 1, &[("t1", 0, 2)]));
    assert_eq!(
        dispatcher.start_batch(FULL_MS + 1, &SERVICE.into(), 1),
        None,
        "both slots are taken"
    );
    dispatcher
}

/// Returns when a node that looks each tick starts an item, if it does within three seconds.
fn started_ms(
    dispatcher: &mut Dispatcher,
    mut reports: impl Iterator<Item = PeerReport>,
) -> Option<u64> {
    let ticks = (1..=15).map(|tick| FULL_MS + tick * TICK_MS);
    ticks.into_iter().find(|&now_ms| {
        if let Some(report) = reports.next() {
            dispatcher.on_report(now_ms, &report);
        }
        dispatcher.start_batch(now_ms, &SERVICE.into(), 1).is_some()
    })
}

#[test]
fn peer_ends_its_runs() {
    let mut dispatcher = full();
    let idle = (2..).map(|sequence| report(PEER, sequence, &[]));
    let started_ms = started_ms(&mut dispatcher, idle);
    assert_eq!(
        started_ms,
        Some(FULL_MS + TICK_MS),
        "this node goes first at the target"
    );
}

#[test]
fn peer_is_gone() {
    let mut dispatcher = full();
    let started_ms = started_ms(&mut dispatcher, std::iter::empty());
    assert_eq!(
        started_ms,
        Some(FULL_MS + 1_000),
        "a report counts for a second"
    );
}

#[test]
fn another_peer_reports() {
    let mut dispatcher = full();
    let idle = (1..).map(|sequence| report(PEER + 1, sequence, &[]));
    let started_ms = started_ms(&mut dispatcher, idle);
    assert_eq!(
        started_ms,
        Some(FULL_MS + 1_000),
        "the report that is out of date counts no longer"
    );
}

#[test]
fn order_holds_after_peer_is_gone() {
    let mut dispatcher = full();
    // Other nodes go first at the target, whatever their order.
    let names: Vec<_> = (0..20).map(|number| format!("n{number}").into()).collect();
    dispatcher
        .selector_mut()
        .set_batch_nodes(&"own".into(), &names);
    let started_ms = started_ms(&mut dispatcher, std::iter::empty()).expect("a start");
    assert!(
        started_ms > FULL_MS + 1_000,
        "the nodes before this one had their turn: {started_ms}"
    );
}
