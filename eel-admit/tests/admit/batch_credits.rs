//! Batch items run on credits for idle slots and are preempted for online requests at once.
//!
//! The tests guard against online requests that wait for batch items, against credits that outlive the idle slots, and
//! against a second run of an item that may run only once.

use eel_admit::{Action, Event, LinkKey};
use eel_types::Class;

use crate::driver::{Driver, arrival, key, options};

/// Returns a target whose `slots` slots all run batch items, and the link that delivered them.
fn full_of_batch(slots: u32, repeatable: bool) -> (Driver, LinkKey) {
    let mut driver = Driver::new(options(slots, 8));
    let link = driver.open(1, true);
    driver.event(Event::CreditsRequested(link));
    for id in 0..u128::from(slots) {
        let mut item = arrival(id, link, Class::Batch);
        item.repeatable = repeatable;
        let actions = driver.event(Event::Arrived(item));
        assert!(actions.contains(&Action::Start(key(id))), "{actions:?}");
    }
    (driver, link)
}

fn credits_of(driver: &Driver, link: LinkKey) -> u32 {
    driver.admission.report(driver.now_ms, link).batch_credits
}

#[test]
fn without_a_credit_no_item_starts() {
    let mut driver = Driver::new(options(4, 8));
    let link = driver.open(1, true);
    let actions = driver.arrive(0, link, Class::Batch);
    assert!(matches!(actions[0], Action::Refuse(..)), "{actions:?}");
    assert!(!actions.contains(&Action::Start(key(0))), "{actions:?}");
}

#[test]
fn credits_are_granted_in_equal_shares_and_expire() {
    let mut driver = Driver::new(options(4, 8));
    let links = [driver.open(1, false), driver.open(2, false)];
    driver.event(Event::CreditsRequested(links[0]));
    assert_eq!(credits_of(&driver, links[0]), 4);
    driver.event(Event::CreditsRequested(links[1]));
    assert_eq!(
        credits_of(&driver, links[1]),
        0,
        "all credits are granted to the first link"
    );
    driver.now_ms = 1_500;
    driver.event(Event::CreditsRequested(links[0]));
    let shares = links.map(|link| credits_of(&driver, link));
    assert_eq!(shares.iter().sum::<u32>(), 4, "{shares:?}");
    assert!(shares.contains(&2) || shares.contains(&4), "{shares:?}");
}

#[test]
fn an_online_arrival_revokes_credits() {
    let mut driver = Driver::new(options(4, 8));
    let link = driver.open(1, true);
    driver.event(Event::CreditsRequested(link));
    let actions = driver.arrive(0, link, Class::Urgent).to_vec();
    assert_eq!(actions[0], Action::Start(key(0)));
    assert!(
        matches!(actions[1], Action::Grant { credits: 2, .. }),
        "one slot runs the request, one is reserved"
    );
    assert_eq!(credits_of(&driver, link), 2);
}

#[test]
fn an_online_arrival_preempts_the_youngest_item_first() {
    let (mut driver, link) = full_of_batch(4, true);
    let expected = [Action::Preempt(key(3)), Action::Start(key(10))];
    assert_eq!(driver.arrive(10, link, Class::Interactive), expected);
    let expected = [Action::Preempt(key(2)), Action::Start(key(11))];
    assert_eq!(driver.arrive(11, link, Class::Urgent), expected);
}

#[test]
fn an_item_that_must_not_run_twice_is_not_preempted() {
    let (mut driver, link) = full_of_batch(4, false);
    let actions = driver.arrive(10, link, Class::Urgent);
    assert_eq!(
        actions,
        [Action::Start(key(10))],
        "the online request starts beside the items, over the limit"
    );
}

#[test]
fn batch_items_start_with_a_gap() {
    let mut driver = Driver::new(options(4, 8));
    let link = driver.open(1, true);
    driver.event(Event::CreditsRequested(link));
    driver.arrive(0, link, Class::Batch);
    driver.now_ms = 80;
    driver.finish(0, 1);
    driver.now_ms = 100;
    driver.arrive(1, link, Class::Batch);
    assert!(
        !driver
            .arrive(2, link, Class::Batch)
            .contains(&Action::Start(key(2)))
    );
    assert_eq!(
        driver.admission.next_deadline_ms(),
        Some(110),
        "half of 80 ms over four slots"
    );
    driver.now_ms = 110;
    assert!(driver.event(Event::Tick).contains(&Action::Start(key(2))));
}
