//! Jobs for the tests, and an in-memory store that applies their transactions.

use std::collections::BTreeMap;

use bytes::Bytes;
use eel_ledger::{Item, JobHead, Keys, Ledger, submission};
use eel_store::{Compare, Op, Txn};

pub fn keys() -> Keys {
    Keys::new("fleet/".into())
}

pub fn head() -> JobHead {
    JobHead {
        host: "a.example".into(),
        submitted_unix_ms: 1_000,
        due_unix_ms: 19_000,
        give_up_unix_ms: 61_000,
        max_attempts: 3,
        items: 0,
        parts: 0,
        tenant: None,
    }
}

pub fn items(count: usize) -> Vec<Item> {
    let item = |index| Item {
        id: format!("item-{index}").into(),
        path: "/jobs/1".into(),
        headers: vec![("x-model".into(), "m".into())],
        body: Bytes::from(vec![u8::try_from(index % 256).expect("a byte"); 100]),
        tokens: 10,
    };
    (0..count).map(item).collect()
}

pub fn submit(id: &str, count: usize) -> Txn {
    submission(&keys(), id, head(), &items(count)).expect("a transaction")
}

/// An in-memory store that supports only [`Compare::Absent`], the condition that jobs use.
#[derive(Default)]
pub struct Values(pub BTreeMap<String, Bytes>);

impl Values {
    pub fn apply(&mut self, txn: &Txn) -> bool {
        let holds = txn.compares.iter().all(|compare| match compare {
            Compare::Absent { key } => !self.0.contains_key(key),
            other => panic!("unsupported condition: {other:?}"),
        });
        if holds {
            for op in &txn.success {
                match op {
                    Op::Put { key, value, .. } => self.0.insert(key.clone(), value.clone()),
                    other => panic!("unsupported operation: {other:?}"),
                };
            }
        }
        holds
    }

    pub fn read(&self, ledger: &mut Ledger) {
        for (key, value) in &self.0 {
            ledger.on_put(key, value);
        }
    }
}

/// Returns a ledger that has read the job `id` of `count` items, and the store.
pub fn ledger_with(id: &str, count: usize) -> (Ledger, Values) {
    let mut values = Values::default();
    assert!(values.apply(&submit(id, count)));
    let mut ledger = Ledger::new(keys());
    values.read(&mut ledger);
    (ledger, values)
}
