//! Callers of one class are served round-robin.
//!
//! The tests guard against a caller whose backlog delays the others or fills the queue.

use std::collections::HashMap;

use eel_admit::{Action, Event, RequestKey};
use eel_types::{Class, Name};

use crate::driver::{Driver, arrival, key, options};

/// Queues the given number of requests of each caller behind a busy slot, and returns the callers in the order served.
fn served(amounts: &[(&str, u128)], queue: u32) -> Vec<Name> {
    let mut driver = Driver::new(options(1, queue));
    let link = driver.open(1, true);
    driver.arrive(0, link, Class::Interactive);
    let mut callers: HashMap<RequestKey, Name> = HashMap::new();
    let mut next_id = 1;
    for (caller, amount) in amounts {
        for _ in 0..*amount {
            let mut arrival = arrival(next_id, link, Class::Interactive);
            arrival.caller = Name::from(*caller);
            callers.insert(arrival.key, arrival.caller.clone());
            driver.event(Event::Arrived(arrival));
            next_id += 1;
        }
    }
    let mut order = Vec::new();
    let mut running = key(0);
    loop {
        let id = running.id.0;
        let started = driver.finish(id, 1).iter().find_map(|action| match action {
            Action::Start(key) => Some(*key),
            _ => None,
        });
        let Some(next) = started else {
            return order;
        };
        order.push(callers[&next].clone());
        running = next;
    }
}

#[test]
fn a_backlogged_caller_delays_another_by_one_request() {
    let order = served(&[("greedy", 20), ("modest", 3)], 64);
    assert_eq!(order.len(), 23);
    for (turn, pair) in order.chunks(2).take(3).enumerate() {
        assert!(
            pair.contains(&Name::from("modest")),
            "turn {turn}: {order:?}"
        );
    }
}

#[test]
fn a_full_queue_is_shared_among_callers() {
    let order = served(&[("greedy", 20), ("modest", 4)], 8);
    let modest = order.iter().filter(|caller| caller.as_str() == "modest");
    assert_eq!(modest.count(), 4, "{order:?}");
}
