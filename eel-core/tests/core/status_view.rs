//! Guards against a `status` that reports a record as in force everywhere while a node lags behind, rejects the record
//! or does not respond. It must report the lowest revision in force, and each node that lags behind with the reason.

use std::collections::BTreeMap;

use eel_core::status::{Unreachable, evaluate};
use eel_record::{Fault, NodeStatus, Problem, RecordKey};
use eel_types::Revision;

fn key() -> RecordKey {
    "service/s".parse().unwrap()
}

fn node(name: &str, revision: u64, in_force: Option<u64>, problem: bool) -> NodeStatus {
    let fault = Fault::TooNew {
        schema: 3,
        newest: 2,
    };
    let problem = problem.then(|| Problem::new(Some(key()), "schema", fault));
    let in_force = in_force.map(|revision| (key(), Revision(revision)));
    NodeStatus {
        name: name.into(),
        data_centre: "dc".into(),
        revision: Revision(revision),
        in_force: in_force.into_iter().collect(),
        problems: problem.into_iter().collect(),
        targets: Vec::new(),
    }
}

#[test]
fn cases() {
    // Accepted revision, nodes, lowest revision in force, and the lagging nodes with the reason.
    let cases = [
        (
            Some(5),
            vec![node("a", 5, Some(5), false), node("b", 9, Some(5), false)],
            Some(5),
            vec![],
        ),
        (
            Some(5),
            vec![node("a", 5, Some(5), false), node("b", 4, Some(3), false)],
            Some(3),
            vec!["b: the node has seen revision 4"],
        ),
        (
            Some(5),
            vec![node("a", 5, Some(5), false), node("b", 4, None, false)],
            None,
            vec!["b: the node has seen revision 4"],
        ),
        (
            Some(5),
            vec![node("a", 5, Some(3), true)],
            Some(3),
            vec!["a: schema: schema 3 is newer than 2, the newest that this version knows"],
        ),
        (Some(5), vec![node("a", 7, Some(6), false)], Some(6), vec![]),
        (
            None,
            vec![node("a", 4, Some(3), false)],
            Some(3),
            vec!["a: the node has seen revision 4"],
        ),
    ];
    for (accepted, nodes, lowest, behind) in cases {
        let accepted: BTreeMap<_, _> = accepted.map(|r| (key(), Revision(r))).into_iter().collect();
        let outcome = evaluate(Revision(6), &accepted, nodes, Vec::new());
        let record = &outcome.records[0];
        assert_eq!(record.lowest_in_force.map(|r| r.0), lowest, "{outcome}");
        let found = record.behind.iter();
        let found: Vec<_> = found.map(|b| format!("{}: {}", b.node, b.why)).collect();
        assert_eq!(found, behind, "{outcome}");
        assert_eq!(outcome.exit().code() == 0, behind.is_empty(), "{outcome}");
    }
}

#[test]
fn silent_node_is_not_settled() {
    let silent = Unreachable {
        address: "http://10.0.0.1:9080".into(),
        why: "timeout".to_owned(),
    };
    let outcome = evaluate(Revision(1), &BTreeMap::new(), Vec::new(), vec![silent]);
    assert_eq!(outcome.exit().code(), 6);
    assert!(
        outcome
            .to_string()
            .contains("no response from http://10.0.0.1:9080: timeout")
    );
}
