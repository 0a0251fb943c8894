//! Faults on links, and how requests settle after them.
//!
//! An entry node may retry an attempt that settles as never started. The tests guard against such a settlement for a
//! request that ran, may have run or can still start.

use eel_admit::{Action, Event, LinkKey, Settlement};
use eel_types::Class;
use eel_verdict::{Reason, Refusal};

use crate::driver::{Driver, arrival, key, options};

/// The id of the request that the fault affects.
const ID: u128 = 7;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    BeforeArrival,
    Queued,
    Running,
    Finished,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Settled,
    Cancelled,
    LinkClosed,
    Superseded,
}

/// Brings request [`ID`] to `moment`. For [`Moment::Queued`], another link occupies the only slot.
fn bring_to(moment: Moment, repeatable: bool) -> (Driver, LinkKey) {
    let mut driver = Driver::new(options(1, 8));
    let link = driver.open(1, true);
    let other = driver.open(1, false);
    let busy = moment == Moment::Queued;
    if busy {
        driver.arrive(0, other, Class::Interactive);
    }
    if moment != Moment::BeforeArrival {
        let mut arrival = arrival(ID, link, Class::Interactive);
        arrival.repeatable = repeatable;
        driver.event(Event::Arrived(arrival));
    }
    if moment == Moment::Finished {
        driver.finish(ID, 1);
    }
    (driver, link)
}

fn inject(driver: &mut Driver, link: LinkKey, fault: Fault) {
    match fault {
        Fault::Settled => drop(driver.event(Event::Settle(key(ID))).to_vec()),
        Fault::Cancelled => drop(driver.event(Event::CancelRequested(key(ID))).to_vec()),
        Fault::LinkClosed => drop(driver.event(Event::LinkClosed(link)).to_vec()),
        Fault::Superseded => drop(driver.open(2, true)),
    }
}

#[test]
fn a_settlement_after_a_fault_is_correct() {
    use Fault::{Cancelled, LinkClosed, Settled, Superseded};
    use Moment::{BeforeArrival, Finished, Queued, Running};
    const NEVER: Settlement = Settlement::NeverStarted;
    const RUNS: Settlement = Settlement::Started { finished: false };
    const ENDED: Settlement = Settlement::Started { finished: true };
    let cases = [
        (Settled, BeforeArrival, true, NEVER, 0),
        (Settled, Queued, true, NEVER, 0),
        (Settled, Running, true, RUNS, 1),
        (Settled, Running, false, RUNS, 0),
        (Settled, Finished, false, ENDED, 0),
        (Cancelled, BeforeArrival, true, NEVER, 0),
        (Cancelled, Queued, true, NEVER, 0),
        (Cancelled, Running, false, RUNS, 1),
        (LinkClosed, BeforeArrival, true, NEVER, 0),
        (LinkClosed, Queued, true, NEVER, 0),
        (LinkClosed, Running, true, RUNS, 1),
        (LinkClosed, Running, false, RUNS, 0),
        (Superseded, BeforeArrival, true, NEVER, 0),
        (Superseded, Queued, true, NEVER, 0),
        (Superseded, Running, true, RUNS, 1),
        (Superseded, Finished, true, ENDED, 0),
    ];
    for (fault, moment, repeatable, settlement, cancels) in cases {
        let case = format!("{fault:?} {moment:?} repeatable: {repeatable}");
        let (mut driver, link) = bring_to(moment, repeatable);
        inject(&mut driver, link, fault);
        let cancelled = driver.actions.contains(&Action::Cancel(key(ID)));
        assert_eq!(usize::from(cancelled), cancels, "{case}");
        let actions = driver.event(Event::Settle(key(ID))).to_vec();
        let settled = Action::Settled(key(ID), settlement);
        assert!(actions.contains(&settled), "{case}: {actions:?}");
        driver.finish(0, 1);
        let copy = driver.arrive(ID, link, Class::Urgent);
        assert!(!copy.contains(&Action::Start(key(ID))), "{case}: {copy:?}");
    }
}

#[test]
fn a_link_of_an_older_generation_opens_fenced() {
    let mut driver = Driver::new(options(4, 8));
    driver.open(2, true);
    let late = driver.open(1, false);
    let refusal = Refusal::not_run(Reason::TargetFailed);
    let expected = [Action::Refuse(key(ID), refusal)];
    assert_eq!(driver.arrive(ID, late, Class::Urgent), expected);
}

#[test]
fn an_expired_request_is_refused_at_its_deadline() {
    let (mut driver, _) = bring_to(Moment::Queued, true);
    let deadline_ms = driver.admission.next_deadline_ms();
    assert_eq!(deadline_ms, Some(10_000));
    driver.now_ms = 10_000;
    let refusal = Refusal::not_run(Reason::DeadlineExceeded);
    let actions = driver.event(Event::Tick);
    assert!(
        actions.contains(&Action::Refuse(key(ID), refusal)),
        "{actions:?}"
    );
    assert!(actions.contains(&Action::Cancel(key(0))), "{actions:?}");
}

#[test]
fn a_drain_serves_queued_requests_and_refuses_new_ones() {
    let (mut driver, link) = bring_to(Moment::Queued, true);
    assert_eq!(driver.event(Event::DrainStarted), []);
    let refusal = Refusal::not_run(Reason::Leaving);
    let expected = [Action::Refuse(key(8), refusal)];
    assert_eq!(driver.arrive(8, link, Class::Urgent), expected);
    assert_eq!(driver.finish(0, 1), [Action::Start(key(ID))]);
    assert_eq!(driver.finish(ID, 1), [Action::DrainDone]);
}

#[test]
fn an_evicted_request_never_settles_as_not_run() {
    let mut options = options(4, 8);
    options.history = 1;
    let mut driver = Driver::new(options);
    let link = driver.open(1, true);
    for id in [ID, 8] {
        driver.arrive(id, link, Class::Interactive);
        driver.finish(id, 1);
    }
    let expected = [Action::Settled(key(ID), Settlement::Unknown)];
    assert_eq!(driver.event(Event::Settle(key(ID))), expected);
    driver.now_ms = 600_000;
    let expected = [Action::Settled(key(9), Settlement::NeverStarted)];
    assert_eq!(driver.event(Event::Settle(key(9))), expected);
}
