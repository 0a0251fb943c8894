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
    let mut queues = ItemQueues::new(0, ledger.job("j").expect("the job"), None, service_of);
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
    let again = ItemQueues::new(0, ledger.job("j").expect("the job"), None, service_of);
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

#[test]
fn ended_routes() {
    let (ledger, _) = ledger_with("j", 2);
    let job = ledger.job("j").expect("the job");
    let service = Name::from("a");
    let mut queues: Option<ItemQueues> = None;
    // When routes come into force, whether one leads to item 1, up to when they are known to be the newest, and whether the
    // item has ended then.
    let steps = [
        (1_000, false, 1_000, false),
        (2_000, false, 5_999, false),
        // The routes are older than what the store may hold.
        (9_000, false, 5_999, false),
        (9_100, true, 9_100, false),
        // The route was back.
        (9_200, false, 14_199, false),
        (9_300, false, 14_200, true),
    ];
    for (now_ms, has_route, known_until_ms, is_ended) in steps {
        let service_of = |item: &eel_ledger::Item| {
            let is_routed = *item.id == *"item-0" || has_route;
            is_routed.then_some(&service)
        };
        let next = ItemQueues::new(now_ms, job, queues.as_ref(), service_of);
        let ended: Vec<u32> = next.ended(known_until_ms).collect();
        assert_eq!(ended, vec![1; usize::from(is_ended)], "at {now_ms}");
        queues = Some(next);
    }
    // A node that did not follow the routes counts from when it sees them.
    let unfollowed = ItemQueues::new(20_000, job, None, |_| None);
    assert_eq!(unfollowed.ended(24_999).count(), 0);
    assert_eq!(unfollowed.ended(25_000).count(), 2);
}
