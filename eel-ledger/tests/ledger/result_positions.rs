//! Positions of results are final, whichever node lists them and in whichever order chunks are read.

use std::collections::HashSet;

use eel_ledger::{ItemRef, Ledger, Progress, ResultState, RunOutcome, Worklist};
use quickcheck::{QuickCheck, TestResult};

use crate::fixture::{Values, keys, ledger_with};

fn completed(text: &str) -> RunOutcome {
    RunOutcome::Completed(Progress {
        text: text.into(),
        ..Progress::default()
    })
}

/// A node with its own ledger, which may lag behind the store.
struct Node {
    ledger: Ledger,
    worklist: Worklist,
}

impl Node {
    fn new(values: &Values) -> Self {
        let mut ledger = Ledger::new(keys());
        values.read(&mut ledger);
        Self {
            ledger,
            worklist: Worklist::default(),
        }
    }

    fn list(&mut self, values: &mut Values) {
        self.worklist.forget_listed(&self.ledger);
        if let Some(txn) = self.worklist.commit(&self.ledger) {
            values.apply(&txn);
        }
    }
}

/// Guards against a result that is listed twice or moves: two nodes run the same items, list them in any order, and
/// read the store at any time.
#[test]
fn each_item_once() {
    fn holds(steps: Vec<(bool, u8, u8)>) -> TestResult {
        const ITEMS: u32 = 6;
        let (_, mut values) = ledger_with("j", ITEMS as usize);
        let mut nodes = [Node::new(&values), Node::new(&values)];
        let mut seen: Vec<u32> = Vec::new();
        for (which, action, item) in steps {
            let node = &mut nodes[usize::from(which)];
            let item = ItemRef {
                job: "j".into(),
                item: u32::from(item) % ITEMS,
            };
            match action % 3 {
                0 => {
                    node.worklist
                        .finish(&item, 3, completed(if which { "one" } else { "other" }));
                }
                1 => node.list(&mut values),
                _ => values.read(&mut node.ledger),
            }
            let mut reader = Ledger::new(keys());
            values.read(&mut reader);
            let listed: Vec<u32> = reader
                .job("j")
                .expect("the job")
                .results()
                .iter()
                .map(|it| it.item)
                .collect();
            if !listed.starts_with(&seen)
                || listed.iter().collect::<HashSet<_>>().len() != listed.len()
            {
                return TestResult::error(format!("{seen:?}, then {listed:?}"));
            }
            seen = listed;
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<(bool, u8, u8)>) -> TestResult);
}

#[test]
fn chunks_out_of_order() {
    let (mut ledger, mut values) = ledger_with("j", 3);
    for item in [2, 0, 1] {
        let mut worklist = Worklist::default();
        worklist.finish(
            &ItemRef {
                job: "j".into(),
                item,
            },
            3,
            completed("text"),
        );
        let txn = worklist.commit(&ledger).expect("a transaction");
        assert!(values.apply(&txn));
        values.read(&mut ledger);
    }
    let mut late = Ledger::new(keys());
    for (key, value) in values.0.iter().rev() {
        late.on_put(key, value);
    }
    let order: Vec<u32> = late
        .job("j")
        .expect("the job")
        .results()
        .iter()
        .map(|it| it.item)
        .collect();
    assert_eq!(order, [2, 0, 1]);
}

#[test]
fn body_until_listed() {
    let (mut ledger, mut values) = ledger_with("j", 2);
    let mut worklist = Worklist::default();
    worklist.finish(
        &ItemRef {
            job: "j".into(),
            item: 1,
        },
        3,
        RunOutcome::Rejected,
    );
    let txn = worklist.commit(&ledger).expect("a transaction");
    values.apply(&txn);
    values.read(&mut ledger);
    let job = ledger.job("j").expect("the job");
    assert!(!job.items()[0].body.is_empty());
    assert!(job.items()[1].body.is_empty());
    assert_eq!(job.results()[0].state, ResultState::Errored);
    assert!(job.is_open());
}

#[test]
fn same_transaction_again() {
    let (mut ledger, mut values) = ledger_with("j", 2);
    let mut worklist = Worklist::default();
    worklist.finish(
        &ItemRef {
            job: "j".into(),
            item: 0,
        },
        3,
        completed("text"),
    );
    let txn = worklist.commit(&ledger).expect("a transaction");
    assert!(values.apply(&txn), "the response is lost");
    assert!(!values.apply(&txn));
    values.read(&mut ledger);
    worklist.forget_listed(&ledger);
    assert_eq!(worklist.unlisted(), 0);
    assert!(worklist.commit(&ledger).is_none());
}
