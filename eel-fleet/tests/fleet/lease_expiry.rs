//! Entries that disappear because their target left, or because their lease expired during an outage of the store.
//!
//! Without the distinction, an outage of the store would remove every target from use.

use eel_fleet::{Registry, Removal};

use crate::fixture::target;

fn ids(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<_> = registry
        .entries()
        .map(|entry| entry.id.as_str().to_owned())
        .collect();
    ids.sort();
    ids
}

fn registry() -> Registry {
    let mut registry = Registry::default();
    assert!(registry.on_entry(target("a", "dc-a", 2)));
    assert!(registry.on_entry(target("b", "dc-a", 2)));
    registry
}

#[test]
fn gone_while_reachable() {
    let mut registry = registry();
    assert_eq!(registry.on_removed(1_000, "a"), Removal::Gone);
    assert_eq!(registry.on_removed(1_000, "a"), Removal::Unchanged);
    assert_eq!(ids(&registry), ["b"]);
}

/// Lets the store renew a lease now and then from `from_ms` to `until_ms`.
fn renew(registry: &mut Registry, from_ms: u64, until_ms: u64) {
    for at_ms in (from_ms..=until_ms).step_by(500) {
        registry.on_lease_renewed(at_ms, at_ms);
    }
}

#[test]
fn back_after_outage() {
    let mut registry = registry();
    registry.on_lease_renewed(0, 0);
    assert_eq!(registry.on_removed(2_000, "a"), Removal::MayReappear);
    registry.on_lease_renewed(3_000, 3_000);
    registry.on_entry(target("a", "dc-a", 2));
    renew(&mut registry, 3_500, 10_000);
    assert!(registry.expire(10_000).is_empty());
    assert_eq!(ids(&registry), ["a", "b"]);
}

#[test]
fn missing_after_outage() {
    let mut registry = registry();
    registry.on_lease_renewed(0, 0);
    registry.on_removed(2_000, "a");
    assert!(
        registry.expire(60_000).is_empty(),
        "the store is still unreachable"
    );
    renew(&mut registry, 61_000, 63_500);
    assert!(
        registry.expire(63_000).is_empty(),
        "the entry may still reappear"
    );
    assert_eq!(registry.expire(63_500), ["a".into()]);
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn removal_seen_late() {
    let mut registry = registry();
    registry.on_lease_renewed(0, 0);
    renew(&mut registry, 5_000, 7_500);
    assert_eq!(
        registry.retain_listed(5_100, &["b".into()]),
        [("a".into(), Removal::MayReappear)],
        "right after an outage, the list may lack entries of targets that still exist"
    );
    assert_eq!(
        registry.retain_listed(5_200, &["b".into()]),
        [],
        "a second list tells nothing new"
    );
    assert_eq!(registry.expire(7_500), ["a".into()]);
}

#[test]
fn removed_between_responses() {
    // No pause is long enough for a lease to run out, whichever calls failed.
    let mut registry = registry();
    for at_ms in [0, 1_900, 3_800, 5_700] {
        registry.on_lease_renewed(at_ms, at_ms);
        assert!(registry.expire(at_ms).is_empty());
    }
    assert_eq!(registry.on_removed(5_700, "a"), Removal::Gone);
}

#[test]
fn renewed_elsewhere() {
    // Other nodes' leases are renewed, as their reports say, while this node is turned away.
    let mut registry = registry();
    registry.on_lease_renewed(0, 0);
    for at_ms in (1_000..10_000).step_by(200) {
        registry.on_lease_renewed(at_ms - 1_000, at_ms);
    }
    registry.on_lease_renewed(10_000, 10_000);
    assert_eq!(registry.on_removed(10_100, "a"), Removal::Gone);
}

#[test]
fn returned_elsewhere_first() {
    let mut registry = registry();
    registry.on_lease_renewed(0, 0);
    assert_eq!(registry.on_removed(3_000, "a"), Removal::MayReappear);
    registry.on_lease_renewed(2_600, 3_600);
    registry.on_lease_renewed(3_700, 3_700);
    assert!(registry.expire(6_000).is_empty());
}

#[test]
fn late_word_of_a_peer() {
    let mut registry = registry();
    registry.on_lease_renewed(10_000, 10_000);
    registry.on_lease_renewed(4_000, 4_000);
    registry.on_lease_renewed(10_100, 10_100);
    assert_eq!(registry.on_removed(10_100, "a"), Removal::Gone);
}

#[test]
fn single_failures_after_an_outage() {
    // The grace period counts from the store's return, whatever fails at this node later.
    let mut registry = registry();
    registry.on_lease_renewed(0, 0);
    registry.on_lease_renewed(5_000, 5_000);
    assert_eq!(registry.on_removed(5_000, "a"), Removal::MayReappear);
    for at_ms in [6_500, 7_400] {
        registry.on_lease_renewed(at_ms, at_ms);
    }
    assert_eq!(registry.expire(7_500), ["a".into()]);
}

#[test]
fn draining_target_is_gone() {
    let mut registry = registry();
    let mut leaving = target("a", "dc-a", 2);
    leaving.is_draining = true;
    assert!(registry.on_entry(leaving));
    registry.on_lease_renewed(0, 0);
    registry.on_lease_renewed(5_000, 5_000);
    assert_eq!(registry.on_removed(5_000, "a"), Removal::Gone);
}

#[test]
fn unchanged_entry() {
    let mut registry = registry();
    assert!(!registry.on_entry(target("a", "dc-a", 2)));
    assert!(registry.on_entry(target("a", "dc-a", 3)));
}
