//! Use of idle slots by batch nodes, and the return of slots that online requests need.
//!
//! Several nodes see the same slot idle at once. Without an order among them, each would start a batch item in it, and
//! the surplus items would be cancelled.

use eel_fleet::{TargetSelector, WorkKind};
use eel_types::Name;

use crate::fixture::{SERVICE, chosen, query, report, selector};

const NODES: [&str; 3] = ["batch-a", "batch-b", "batch-c"];

/// Returns one state per node, each with the other two nodes as its peers.
fn selectors() -> Vec<TargetSelector> {
    let selectors = NODES.map(|own| {
        let mut selector = selector(&[
            ("t1", "dc-a", 8),
            ("t2", "dc-a", 8),
            ("t3", "dc-a", 8),
            ("t4", "dc-a", 8),
        ]);
        let others: Vec<Name> = NODES
            .iter()
            .filter(|it| **it != own)
            .map(|it| Name::from(*it))
            .collect();
        selector.set_batch_nodes(&own.into(), &others);
        selector
    });
    selectors.into()
}

#[test]
fn one_node_takes_a_slot() {
    for idle in ["t1", "t2", "t3", "t4"] {
        let busy: Vec<_> = ["t1", "t2", "t3", "t4"]
            .into_iter()
            .map(|id| (id, if id == idle { 7 } else { 8 }, 0))
            .collect();
        let mut starts = 0;
        for mut selector in selectors() {
            let full: Vec<_> = busy.iter().map(|(id, ..)| (*id, 8, 0)).collect();
            selector.on_report(1_000, &report(99, 1, &full));
            selector.on_report(1_100, &report(99, 2, &busy));
            starts += u32::from(chosen(&selector, 1_101, WorkKind::Batch).is_some());
        }
        assert_eq!(starts, 1, "nodes that took the idle slot of {idle}");
    }
}

#[test]
fn others_take_it_after_a_delay() {
    for mut selector in selectors() {
        selector.on_report(
            1_000,
            &report(
                99,
                1,
                &[("t1", 8, 0), ("t2", 8, 0), ("t3", 8, 0), ("t4", 8, 0)],
            ),
        );
        selector.on_report(
            1_100,
            &report(
                99,
                2,
                &[("t1", 7, 0), ("t2", 8, 0), ("t3", 8, 0), ("t4", 8, 0)],
            ),
        );
        assert!(
            chosen(&selector, 1_300, WorkKind::Batch).is_some(),
            "every node may take the slot after 200 ms"
        );
    }
}

#[test]
fn room_for_online() {
    // 30 of 32 slots are in use. With 16 online requests, up to 4 idle slots are kept for them.
    let loads = [("t1", 4, 4), ("t2", 4, 4), ("t3", 4, 4), ("t4", 4, 2)];
    let mut crowded = selectors().remove(0);
    crowded.on_report(1_000, &report(99, 1, &loads));
    assert!(!crowded.has_batch_room(1_001, SERVICE));
    let mut calm = selectors().remove(0);
    calm.on_report(
        1_000,
        &report(
            99,
            1,
            &[("t1", 1, 7), ("t2", 0, 8), ("t3", 0, 8), ("t4", 0, 6)],
        ),
    );
    assert!(calm.has_batch_room(1_001, SERVICE));
}

#[test]
fn cancel_as_much_as_needed() {
    // Two nodes run 6 batch items at a target of 8 slots, and a third runs 5 online requests: 3 items too many.
    let mut first = selector(&[("t1", "dc-a", 8)]);
    let mut second = selector(&[("t1", "dc-a", 8)]);
    let key = first
        .choose(0, SERVICE, &query(WorkKind::Online))
        .expect("a target");
    for _ in 0..2 {
        first.start(0, key, WorkKind::Batch);
    }
    for _ in 0..4 {
        second.start(0, key, WorkKind::Batch);
    }
    for (selector, other) in [
        (&mut first, report(2, 1, &[("t1", 0, 4)])),
        (&mut second, report(1, 1, &[("t1", 0, 2)])),
    ] {
        selector.on_report(5, &other);
        selector.on_report(5, &report(3, 1, &[("t1", 5, 0)]));
    }
    assert_eq!(
        first.excess_batch(6, key, 1),
        2,
        "the lower incarnation gives up its slots first, all of them"
    );
    assert_eq!(
        second.excess_batch(6, key, 2),
        1,
        "the other node gives up the rest"
    );
}
