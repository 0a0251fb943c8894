//! Entries that disappear because their target left, or because their lease expired during an outage of the store.
//!
//! Without the distinction, an outage of the store would remove every target from use.

use eel_fleet::Registry;

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
    assert!(registry.on_removed(1_000, "a"));
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn back_after_outage() {
    let mut registry = registry();
    registry.on_store_lost();
    assert!(!registry.on_removed(1_000, "a"));
    registry.on_store_back(2_000);
    registry.on_entry(target("a", "dc-a", 2));
    assert!(registry.expire(10_000).is_empty());
    assert_eq!(ids(&registry), ["a", "b"]);
}

#[test]
fn missing_after_outage() {
    let mut registry = registry();
    registry.on_store_lost();
    registry.on_removed(1_000, "a");
    assert!(
        registry.expire(60_000).is_empty(),
        "the store is still unreachable"
    );
    registry.on_store_back(61_000);
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
    registry.on_store_lost();
    registry.on_store_back(5_000);
    let gone = registry.retain_listed(5_100, &["b".into()]);
    assert!(
        gone.is_empty(),
        "right after an outage, the list may lack entries of targets that still exist"
    );
    assert_eq!(registry.expire(7_500), ["a".into()]);
}

#[test]
fn draining_target_is_gone() {
    let mut registry = registry();
    let mut leaving = target("a", "dc-a", 2);
    leaving.is_draining = true;
    assert!(registry.on_entry(leaving));
    registry.on_store_lost();
    assert!(registry.on_removed(1_000, "a"));
}

#[test]
fn unchanged_entry() {
    let mut registry = registry();
    assert!(!registry.on_entry(target("a", "dc-a", 2)));
    assert!(registry.on_entry(target("a", "dc-a", 3)));
}
