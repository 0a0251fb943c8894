//! The slots adapt to the latency objectives, and refusals state a retry-after time.
//!
//! The tests guard against fewer slots for latency that load does not cause, and against a queue that outlasts the
//! deadlines of its requests.

use eel_admit::{Action, Event};
use eel_types::Class;
use eel_verdict::{Reason, Verdict};

use crate::driver::{Driver, arrival, key, options};

/// Runs 60 rounds of online requests and returns the slots after them.
///
/// Each round starts as many requests as there are slots, at most `running`. The target takes `base_ms`, and `each_ms`
/// more for each running request.
fn slots_after(running: u32, base_ms: u64, each_ms: u64) -> u32 {
    let mut driver = Driver::new(options(16, 64));
    let link = driver.open(1, true);
    let mut next_id = 0;
    for _ in 0..60 {
        let slots = driver.admission.report(driver.now_ms, link).slots;
        let ids = next_id..next_id + u128::from(running.min(slots));
        next_id = ids.end;
        for id in ids.clone() {
            let mut arrival = arrival(id, link, Class::Interactive);
            arrival.deadline_ms = driver.now_ms + 10_000;
            driver.event(Event::Arrived(arrival));
        }
        let first_byte_ms = base_ms + each_ms * u64::from(running.min(slots));
        driver.now_ms += first_byte_ms;
        for id in ids {
            driver.finish(id, first_byte_ms);
        }
    }
    driver.admission.report(driver.now_ms, link).slots
}

#[test]
fn slots_follow_the_latency_that_load_causes() {
    assert_eq!(
        slots_after(16, 100, 5),
        16,
        "at the limit, within the objective"
    );
    let loaded = slots_after(16, 20, 40);
    assert!(
        (6..=9).contains(&loaded),
        "eight slots meet 340 ms: {loaded}"
    );
    assert_eq!(slots_after(4, 900, 0), 16, "late, but below the limit");
    let inherent = slots_after(16, 900, 0);
    assert!(inherent >= 13, "late at any load: {inherent}");
}

#[test]
fn a_queue_longer_than_the_deadline_is_refused_at_once() {
    let mut driver = Driver::new(options(1, 64));
    let link = driver.open(1, true);
    driver.arrive(0, link, Class::Interactive);
    driver.now_ms = 1_000;
    driver.finish(0, 1_000);
    driver.arrive(1, link, Class::Interactive);
    let mut refused = None;
    for id in 2..20 {
        if let [Action::Refuse(_, refusal)] = driver.arrive(id, link, Class::Interactive) {
            refused = Some((id, *refusal));
            break;
        }
    }
    let (id, refusal) = refused.expect("the expected wait exceeds the deadline");
    assert_eq!(id, 10, "nine seconds are left, and each request takes one");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert_eq!(refusal.retry_after_ms, Some(4_500));
}

#[test]
fn an_urgent_request_takes_the_place_of_a_waiting_one() {
    let mut driver = Driver::new(options(1, 1));
    let link = driver.open(1, true);
    driver.arrive(0, link, Class::Interactive);
    driver.arrive(1, link, Class::Interactive);
    let actions = driver.arrive(2, link, Class::Urgent);
    assert!(
        matches!(actions, [Action::Refuse(refused, _)] if *refused == key(1)),
        "{actions:?}"
    );
    assert_eq!(driver.finish(0, 1), [Action::Start(key(2))]);
}
