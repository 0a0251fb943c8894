//! Guards against texts of unfinished items that together take more than a node has, and against dropping more than needed.

use eel_ledger::largest_beyond;

#[test]
fn largest_go_first() {
    let drop = |max_bytes| largest_beyond([("a", 30), ("b", 50), ("c", 20)], max_bytes);
    assert!(drop(100).is_empty());
    assert_eq!(drop(99), ["b"]);
    assert_eq!(drop(50), ["b"]);
    assert_eq!(drop(49), ["b", "a"]);
    assert_eq!(drop(0), ["b", "a", "c"]);
    assert!(largest_beyond(Vec::<(&str, usize)>::new(), 0).is_empty());
}
