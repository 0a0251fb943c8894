//! Guards against a record that is dropped while its streams may be resumed, and against one that is never removed.

use eel_origin::Leftovers;

const TTL_MS: u64 = 40_000;

#[test]
fn age_from_first_read() {
    let mut leftovers = Leftovers::default();
    leftovers.on_read(1_000, ["a"]);
    leftovers.on_read(30_000, ["a", "b"]);
    let old = |leftovers: &Leftovers, now_ms| leftovers.keys(now_ms, TTL_MS, 9);
    assert!(old(&leftovers, 50_999).is_empty(), "a later stream");
    assert_eq!(old(&leftovers, 51_000), ["a"]);
    assert!(!leftovers.contains(51_000, TTL_MS, "b"));
    assert!(!leftovers.contains(51_000, 600_000, "a"), "longer streams");
    leftovers.on_removed(&["a".to_owned()]);
    assert!(old(&leftovers, 79_999).is_empty());
    // A node that has removed a record, and one that has restarted, count from their next read.
    leftovers.on_read(80_000, ["a"]);
    assert!(old(&leftovers, 129_999).is_empty(), "removed meanwhile");
    assert_eq!(old(&leftovers, 130_000), ["a"]);
}
