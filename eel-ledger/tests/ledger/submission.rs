//! The transaction that accepts a job.
//!
//! The tests guard against a job that is accepted twice or in part, and against items that exceed a transaction.

use bytes::Bytes;
use eel_ledger::{Item, Keys, Ledger, MAX_ITEMS_BYTES, SubmitError, submission};

use crate::fixture::{Values, head, items, keys, ledger_with, submit};

#[test]
fn accepted_once() {
    let mut values = Values::default();
    assert!(values.apply(&submit("j", 3)));
    assert!(
        !values.apply(&submit("j", 5)),
        "a second submission of the same id changes nothing"
    );
    let mut ledger = Ledger::new(keys());
    values.read(&mut ledger);
    assert_eq!(ledger.job("j").expect("the job").items().len(), 3);
}

#[test]
fn many_parts() {
    let mut large = items(4);
    for item in &mut large {
        item.body = Bytes::from(vec![7; 400 * 1024]);
    }
    let txn = submission(&keys(), "j", head(), &large).expect("a transaction");
    assert!(
        txn.success.len() > 3,
        "head and parts: {}",
        txn.success.len()
    );
    let mut values = Values::default();
    values.apply(&txn);
    let mut ledger = Ledger::new(keys());
    // Parts may arrive before the head, in any order.
    for (key, value) in values.0.iter().rev() {
        ledger.on_put(key, value);
    }
    assert_eq!(ledger.job("j").expect("the job").items(), large);
}

#[test]
fn unknown_until_whole() {
    let (_, values) = ledger_with("j", 3);
    let mut ledger = Ledger::new(keys());
    let head = keys().head("j");
    ledger.on_put(&head, &values.0[&head]);
    assert!(ledger.job("j").expect("the job").head().is_none());
}

#[test]
fn too_large() {
    let huge = Item {
        body: Bytes::from(vec![0; MAX_ITEMS_BYTES + 1]),
        ..items(1).remove(0)
    };
    let error = submission(&keys(), "j", head(), &[huge]).expect_err("an error");
    assert_eq!(*error.current_context(), SubmitError::TooLarge);
}

#[test]
fn foreign_keys() {
    let mut ledger = Ledger::new(keys());
    for key in [
        "other/jobs/j/head",
        "fleet/nodes/n",
        "fleet/jobs/j",
        "fleet/jobs/j/results/x",
        "fleet/jobs/j/other",
    ] {
        assert_eq!(ledger.on_put(key, &Bytes::new()), None, "{key}");
    }
    ledger.on_put(
        &Keys::new("fleet/".into()).head("j"),
        &Bytes::from_static(b"\xff"),
    );
    assert_eq!(ledger.undecoded(), 1);
    assert!(ledger.job("j").is_none_or(|job| job.head().is_none()));
}
