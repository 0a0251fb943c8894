//! The items of a job by the service that runs them.
//!
//! Guards against an item behind one of another service that is not looked at, and against listed items that are looked at
//! again and again.

use eel_ledger::{ItemQueues, ItemRef, Ledger, RunOutcome, Worklist};
use eel_types::Name;

use crate::fixture::{Values, ledger_with};

fn indices(queues: &ItemQueues) -> Vec<(String, Vec<u32>)> {
    let queues = queues.iter();
    queues
        .map(|(name, it)| (name.to_string(), it.collect()))
        .collect()
}

#[test]
fn by_service() {
    let (mut ledger, mut values) = ledger_with("j", 6);
    let services = [Name::from("a"), Name::from("b")];
    let service_of = |item: &eel_ledger::Item| match item.id.as_str() {
        "item-0" | "item-3" => services.first(),
        "item-5" => None,
        _ => services.get(1),
    };
    let mut queues = ItemQueues::new(ledger.job("j").expect("the job"), service_of);
    let of =
        |a: &[u32], b: &[u32]| vec![("a".to_owned(), a.to_vec()), ("b".to_owned(), b.to_vec())];
    assert_eq!(indices(&queues), of(&[0, 3], &[1, 2, 4]));
    for (listed, a, b) in [
        (0, vec![3], vec![1, 2, 4]),
        (2, vec![3], vec![1, 2, 4]),
        (1, vec![3], vec![4]),
    ] {
        list(&mut ledger, &mut values, listed);
        queues.forget_listed(ledger.job("j").expect("the job"));
        assert_eq!(indices(&queues), of(&a, &b), "after item {listed}");
    }
    let again = ItemQueues::new(ledger.job("j").expect("the job"), service_of);
    assert_eq!(indices(&again), of(&[3], &[4]));
}

fn list(ledger: &mut Ledger, values: &mut Values, index: u32) {
    let mut worklist = Worklist::default();
    let item = ItemRef {
        job: "j".into(),
        item: index,
    };
    worklist.start(&item);
    worklist.finish(&item, 3, RunOutcome::Rejected);
    assert!(values.apply(&worklist.commit(ledger).expect("a transaction")));
    values.read(ledger);
}
