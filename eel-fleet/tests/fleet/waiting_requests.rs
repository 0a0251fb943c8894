//! Queueing and rejection of online requests that find no free slot.
//!
//! The tests guard against a freed slot that goes to a less urgent request, against requests that wait although they
//! cannot start in time, and against wrong retry delays.

use eel_fleet::{
    Arrival, AttemptOutcome, Decision, Dequeued, Dispatcher, Rejection, TargetKey, TicketKey,
    WorkKind,
};
use eel_types::Name;

use crate::fixture::{SERVICE, arrival, report, target};

fn dispatcher(slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("dc-a".into());
    dispatcher
        .selector_mut()
        .set_target(target("a", "dc-a", slots));
    dispatcher
}

fn start(dispatcher: &mut Dispatcher, now_ms: u64) -> TargetKey {
    let service = Name::from(SERVICE);
    match dispatcher.arrive(now_ms, arrival(&service, now_ms + 300, now_ms + 5_000)) {
        Decision::Start(key) => key,
        other => panic!("expected a start, got {other:?}"),
    }
}

fn wait(dispatcher: &mut Dispatcher, now_ms: u64, start_by_ms: u64, give_up_ms: u64) -> TicketKey {
    let service = Name::from(SERVICE);
    match dispatcher.arrive(now_ms, arrival(&service, start_by_ms, give_up_ms)) {
        Decision::Wait(ticket) => ticket,
        other => panic!("expected a wait, got {other:?}"),
    }
}

/// Ends an online attempt that has run for `run_time_ms` with a response.
fn answer(dispatcher: &mut Dispatcher, now_ms: u64, key: TargetKey, run_time_ms: u64) {
    let (work, outcome) = (WorkKind::Online, AttemptOutcome::Answered);
    dispatcher.end(now_ms, SERVICE, key, work, outcome, run_time_ms);
}

fn tickets(dequeued: Vec<Dequeued>) -> Vec<(TicketKey, bool)> {
    dequeued
        .into_iter()
        .map(|request| (request.ticket, request.outcome.is_ok()))
        .collect()
}

#[test]
fn freed_slot_goes_to_the_most_urgent() {
    let mut dispatcher = dispatcher(1);
    let key = start(&mut dispatcher, 0);
    let later = wait(&mut dispatcher, 0, 1_000, 5_000);
    let sooner = wait(&mut dispatcher, 0, 700, 5_000);
    assert!(dispatcher.dispatch_waiting(10).is_empty());
    answer(&mut dispatcher, 100, key, 100);
    assert_eq!(tickets(dispatcher.dispatch_waiting(100)), [(sooner, true)]);
    answer(&mut dispatcher, 200, key, 100);
    assert_eq!(tickets(dispatcher.dispatch_waiting(200)), [(later, true)]);
}

#[test]
fn late_ones_come_last() {
    let mut dispatcher = dispatcher(1);
    let key = start(&mut dispatcher, 0);
    let late = wait(&mut dispatcher, 0, 310, 5_000);
    let in_time = wait(&mut dispatcher, 0, 2_000, 5_000);
    answer(&mut dispatcher, 400, key, 400);
    assert_eq!(tickets(dispatcher.dispatch_waiting(400)), [(in_time, true)]);
    answer(&mut dispatcher, 800, key, 400);
    assert_eq!(
        tickets(dispatcher.dispatch_waiting(800)),
        [(late, true)],
        "a late request is still of use until its deadline"
    );
}

#[test]
fn rejected_on_arrival() {
    let mut dispatcher = dispatcher(1);
    start(&mut dispatcher, 0);
    wait(&mut dispatcher, 0, 400, 5_000);
    let service = Name::from(SERVICE);
    // One request runs for 300 ms and one waits, so a third starts after 600 ms at the earliest.
    let decision = dispatcher.arrive(0, arrival(&service, 400, 5_000));
    assert_eq!(
        decision,
        Decision::Reject(Rejection {
            // In the last fifth of the 1,500 ms that callers honour, spread by the tie breaker of 1.
            retry_after_ms: 1_201,
            expected_wait_ms: 600,
            ahead: 1,
            slots: 1,
            limited_targets: 0,
            is_version_gone: false,
        })
    );
}

#[test]
fn peers_wait_too() {
    let mut dispatcher = dispatcher(1);
    start(&mut dispatcher, 0);
    let mut peer_report = report(5, 1, &[]);
    peer_report.waiting = vec![eel_fleet::WaitingCount {
        service: eel_fleet::stable_hash(SERVICE),
        waiting: 3,
    }];
    dispatcher.on_report(0, &peer_report);
    assert!(dispatcher.is_online_waiting(1, SERVICE));
    let service = Name::from(SERVICE);
    let decision = dispatcher.arrive(1, arrival(&service, 1_000, 5_000));
    assert_eq!(
        decision,
        Decision::Reject(Rejection {
            retry_after_ms: 1_201,
            expected_wait_ms: 1_200,
            ahead: 3,
            slots: 1,
            limited_targets: 0,
            is_version_gone: false,
        })
    );
    assert!(
        !dispatcher.is_online_waiting(1_001, SERVICE),
        "the report has expired"
    );
}

#[test]
fn given_up_at_the_deadline() {
    let mut dispatcher = dispatcher(1);
    start(&mut dispatcher, 0);
    let ticket = wait(&mut dispatcher, 0, 350, 500);
    assert!(dispatcher.dispatch_waiting(499).is_empty());
    assert_eq!(tickets(dispatcher.dispatch_waiting(500)), [(ticket, false)]);
}

#[test]
fn no_usable_target() {
    let mut dispatcher = dispatcher(1);
    let key = start(&mut dispatcher, 0);
    dispatcher.end(0, SERVICE, key, WorkKind::Online, AttemptOutcome::Failed, 0);
    let ticket = wait(&mut dispatcher, 0, 300, 5_000);
    assert!(
        dispatcher.dispatch_waiting(200).is_empty(),
        "the pause of the target ends before the request is late"
    );
    assert_eq!(tickets(dispatcher.dispatch_waiting(260)), [(ticket, true)]);
    dispatcher.end(
        260,
        SERVICE,
        key,
        WorkKind::Online,
        AttemptOutcome::Failed,
        0,
    );
    let unservable = wait(&mut dispatcher, 260, 570, 5_000);
    assert_eq!(
        tickets(dispatcher.dispatch_waiting(600)),
        [(unservable, false)],
        "late, and no target is usable"
    );
}

#[test]
fn caller_leaves() {
    let mut dispatcher = dispatcher(1);
    let key = start(&mut dispatcher, 0);
    let ticket = wait(&mut dispatcher, 0, 1_000, 5_000);
    dispatcher.cancel(SERVICE, ticket);
    answer(&mut dispatcher, 100, key, 100);
    assert!(dispatcher.dispatch_waiting(100).is_empty());
    assert!(dispatcher.own_waiting(100).is_empty());
}

#[test]
fn run_time_is_learnt() {
    let mut dispatcher = dispatcher(2);
    for _ in 0..64 {
        let key = start(&mut dispatcher, 0);
        answer(&mut dispatcher, 0, key, 700);
    }
    assert_eq!(dispatcher.run_time_ms(SERVICE), 700);
    let key = start(&mut dispatcher, 0);
    dispatcher.end(0, SERVICE, key, WorkKind::Online, AttemptOutcome::Failed, 5);
    assert_eq!(
        dispatcher.run_time_ms(SERVICE),
        700,
        "a failed attempt is no run time sample"
    );
}

/// Two peers report a request each at a target with two slots, and the first request reaches this node.
fn arrive_behind_peers(dispatcher: &mut Dispatcher) -> Decision {
    let service = Name::from(SERVICE);
    for peer in [5, 6] {
        dispatcher.on_report(100, &report(peer, 1, &[("a", 1, 0)]));
    }
    dispatcher.arrive(100, arrival(&service, 160, 5_000))
}

/// A node that has just started must not refuse its first requests because it assumes that runs are long.
#[test]
fn unknown_run_time() {
    let mut dispatcher = dispatcher(2);
    let Decision::Wait(first) = arrive_behind_peers(&mut dispatcher) else {
        panic!("the request is rejected");
    };
    let second = wait(&mut dispatcher, 100, 160, 5_000);
    let service = Name::from(SERVICE);
    let third = dispatcher.arrive(100, arrival(&service, 160, 5_000));
    assert!(
        matches!(third, Decision::Reject(rejection) if rejection.ahead == 2),
        "it would start after the runs of two: {third:?}"
    );
    dispatcher.on_report(104, &report(5, 2, &[]));
    assert_eq!(tickets(dispatcher.dispatch_waiting(104)), [(first, true)]);
    dispatcher.on_report(105, &report(6, 2, &[]));
    assert_eq!(tickets(dispatcher.dispatch_waiting(105)), [(second, true)]);
}

#[test]
fn known_run_time() {
    let mut dispatcher = dispatcher(2);
    let key = start(&mut dispatcher, 0);
    answer(&mut dispatcher, 100, key, 300);
    let decision = arrive_behind_peers(&mut dispatcher);
    assert!(
        matches!(decision, Decision::Reject(rejection) if rejection.expected_wait_ms == 150),
        "the request cannot start in time: {decision:?}"
    );
}

#[test]
fn short_runs_take_time() {
    let mut dispatcher = dispatcher(2);
    let service = Name::from(SERVICE);
    for _ in 0..2 {
        let key = start(&mut dispatcher, 0);
        answer(&mut dispatcher, 0, key, 0);
    }
    start(&mut dispatcher, 0);
    start(&mut dispatcher, 0);
    let decision = dispatcher.arrive(0, arrival(&service, 0, 5_000));
    assert!(
        matches!(decision, Decision::Reject(rejection) if rejection.expected_wait_ms > 0),
        "the request cannot start in time: {decision:?}"
    );
}

#[test]
fn started_response_waits_until_its_deadline() {
    let service = Name::from(SERVICE);
    let started = || Arrival {
        accepts_late: true,
        ..arrival(&service, 0, 2_000)
    };
    let mut dispatcher = dispatcher(1);
    let key = start(&mut dispatcher, 0);
    let Decision::Wait(ticket) = dispatcher.arrive(10, started()) else {
        panic!("the request is rejected");
    };
    dispatcher.end(
        20,
        SERVICE,
        key,
        WorkKind::Online,
        AttemptOutcome::Failed,
        20,
    );
    assert!(
        dispatcher.dispatch_waiting(30).is_empty(),
        "no usable target"
    );
    assert_eq!(
        tickets(dispatcher.dispatch_waiting(1_000)),
        [(ticket, true)]
    );
    let Decision::Wait(ticket) = dispatcher.arrive(1_010, started()) else {
        panic!("the request is rejected");
    };
    assert_eq!(
        tickets(dispatcher.dispatch_waiting(2_000)),
        [(ticket, false)]
    );
}
