//! Targets that have said that they are leaving, through changes of their entries.
//!
//! Guards against a target that gets work again because its entry is rewritten, or removed and written again.

use eel_fleet::{TargetEntry, TargetSelector, WorkKind};

use crate::fixture::{SERVICE, chosen, selector, target};

fn leaving() -> TargetSelector {
    let mut selector = selector(&[("near", "dc-a", 2), ("far", "dc-b", 2)]);
    selector.on_leaving(0, &near(|_| {}));
    selector
}

fn near(change: impl FnOnce(&mut TargetEntry)) -> TargetEntry {
    let mut entry = target("near", "dc-a", 2);
    change(&mut entry);
    entry
}

#[test]
fn rewritten_entries() {
    let cases = [
        ("unchanged", near(|_| {}), "far"),
        ("other slots", near(|it| it.slots = 4), "far"),
        (
            "at another address",
            near(|it| it.address.set_port(10)),
            "far",
        ),
        (
            "of a later start",
            near(|it| it.started_unix_ms = Some(2)),
            "near",
        ),
    ];
    for (name, entry, expected) in cases {
        for is_removed in [false, true] {
            let mut selector = leaving();
            if is_removed {
                selector.remove_target("near");
            }
            selector.set_target(entry.clone());
            for work in [WorkKind::Online, WorkKind::Batch] {
                let chosen = chosen(&selector, 1, work);
                assert_eq!(
                    chosen.as_deref(),
                    Some(expected),
                    "{name}, removed: {is_removed}"
                );
            }
        }
    }
}

#[test]
fn removed_before_it_says_so() {
    let mut selector = selector(&[("near", "dc-a", 2), ("far", "dc-b", 2)]);
    selector.remove_target("near");
    selector.on_leaving(0, &near(|_| {}));
    selector.set_target(near(|_| {}));
    let chosen = chosen(&selector, 1, WorkKind::Online);
    assert_eq!(chosen.as_deref(), Some("far"));
}

#[test]
fn earlier_start_says_so_late() {
    let mut selector = leaving();
    let restarted = near(|it| it.started_unix_ms = Some(2));
    selector.set_target(restarted.clone());
    selector.on_leaving(1, &restarted);
    selector.on_leaving(2, &near(|_| {}));
    selector.remove_target("near");
    selector.set_target(restarted);
    let chosen = chosen(&selector, 3, WorkKind::Online);
    assert_eq!(chosen.as_deref(), Some("far"));
}

#[test]
fn no_slots_count() {
    let mut selector = leaving();
    assert_eq!(selector.capacity(1, SERVICE).slots, 2);
    selector.remove_target("far");
    assert_eq!(selector.capacity(1, SERVICE).slots, 0);
    assert_eq!(chosen(&selector, 1, WorkKind::Online), None);
}
