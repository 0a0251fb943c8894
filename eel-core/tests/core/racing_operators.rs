//! Guards against lost updates: two operators change up to three records each, in every interleaving of their steps.

use eel_core::apply::{ApplyStatus, Prepared};
use eel_standin::kv::KvServer;
use eel_store::EtcdJson;

use crate::directory::{Operator, connect, slots, slots_of};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// The interleavings, each as the operators that take its four steps: the first step of an operator reads, the second
/// writes.
const ORDERS: [[usize; 4]; 6] = [
    [0, 0, 1, 1],
    [0, 1, 0, 1],
    [0, 1, 1, 0],
    [1, 0, 0, 1],
    [1, 0, 1, 0],
    [1, 1, 0, 0],
];

/// Sets of records that the first operator changes, as bit masks; all others are equivalent up to renaming.
const FIRST_SETS: [u32; 3] = [0b001, 0b011, 0b111];

fn is_in(set: u32, index: usize) -> bool {
    set & (1 << index) != 0
}

/// Runs one interleaving and returns the statuses and the slots of each service in the store.
async fn race(store: &EtcdJson, order: [usize; 4], sets: [u32; 2]) -> ([ApplyStatus; 2], Vec<u64>) {
    let mut first = Operator::new("base");
    first.prefix = format!("/{order:?}{sets:?}");
    for name in NAMES {
        first.declare(name, 1);
    }
    assert_eq!(first.apply(store).await.status, ApplyStatus::Applied);
    let operators = [
        Operator::clone_of(&first, "x"),
        Operator::clone_of(&first, "y"),
    ];
    for (who, operator) in (2..).zip(&operators) {
        for (index, name) in NAMES.iter().enumerate() {
            if is_in(sets[who - 2], index) {
                operator.declare(name, u32::try_from(who).unwrap());
            }
        }
    }
    let mut prepared: [Option<Prepared>; 2] = [None, None];
    let mut statuses = [None, None];
    for who in order {
        let operator = &operators[who];
        match prepared[who].take() {
            None => prepared[who] = Some(operator.prepare(store).await),
            Some(ready) => statuses[who] = Some(operator.commit(ready, store).await.status),
        }
    }
    let content = slots_of(store, &first.prefix)
        .await
        .into_iter()
        .map(|(_, slots)| slots);
    (statuses.map(Option::unwrap), content.collect())
}

#[tokio::test]
async fn no_update_is_lost() {
    let server = KvServer::start().await.unwrap();
    let store = connect(&server);
    for order in ORDERS {
        for first in FIRST_SETS {
            for second in 1..8 {
                let sets = [first, second];
                let (statuses, content) = race(&store, order, sets).await;
                check(order, sets, statuses, &content);
            }
        }
    }
}

fn check(order: [usize; 4], sets: [u32; 2], statuses: [ApplyStatus; 2], content: &[u64]) {
    let case = format!("order {order:?}, records {sets:?}: {statuses:?} {content:?}");
    let winner = order[order.iter().rposition(|&who| who != order[3]).unwrap()];
    let loser = 1 - winner;
    assert_eq!(statuses[winner], ApplyStatus::Applied, "{case}");
    // The later operator's directory is based on revisions that have been superseded.
    let saw_conflict = order[..2] == [winner, winner];
    let overlaps = sets[0] & sets[1] != 0;
    let expected = if saw_conflict || overlaps {
        ApplyStatus::Conflict
    } else {
        ApplyStatus::Applied
    };
    assert_eq!(statuses[loser], expected, "{case}");
    for (index, &slots) in content.iter().enumerate() {
        let expected = if is_in(sets[winner], index) {
            winner + 2
        } else if statuses[loser] == ApplyStatus::Applied && is_in(sets[loser], index) {
            loser + 2
        } else {
            1
        };
        assert_eq!(slots, u64::try_from(expected).unwrap(), "{case}");
    }
}

#[tokio::test]
async fn refusal_says_what_changed() {
    let server = KvServer::start().await.unwrap();
    let store = connect(&server);
    let first = Operator::new("x");
    first.declare("a", 1);
    first.apply(&store).await;
    let second = Operator::clone_of(&first, "y");
    second.declare("a", 3);
    let ready = second.prepare(&store).await;
    first.declare("a", 2);
    first.apply(&store).await;
    let outcome = second.commit(ready, &store).await;
    let text = outcome.to_string();
    assert!(
        text.contains("! service/a was changed by another operator at revision 3"),
        "{text}"
    );
    assert!(
        text.contains("spec.slots: 2 in the store, 3 here"),
        "{text}"
    );
    assert_eq!(outcome.exit().code(), 3);

    let mut options = second.options();
    options.overwrite = vec!["service/a".parse().unwrap()];
    let outcome = second.apply_with(&options, &store).await;
    assert_eq!(outcome.status, ApplyStatus::Applied);
    assert_eq!(slots(&store).await, [("a".to_owned(), 3)]);
}
