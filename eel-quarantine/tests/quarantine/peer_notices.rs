//! What nodes tell one another of crashes and blocked parts.
//!
//! Guards against a part that only the node that has seen its crashes blocks, against a part that is blocked again by an
//! old notice, and against datagrams that are too large or malformed.

use eel_quarantine::{Notice, Quarantine};

use crate::fixture::{crash, parts, prompt, set};

const MAX_DATAGRAM_BYTES: usize = 1_400;

fn tell(now_ms: u64, from: &mut Quarantine, to: &mut Quarantine) {
    let datagram = from.notice(now_ms).encode().expect("a datagram");
    to.on_notice(now_ms, Notice::decode(&datagram).expect("a notice"));
}

#[test]
fn crashes_seen_by_different_nodes() {
    let mut nodes: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    for (number, node) in (0..).zip(&mut nodes) {
        node.on_crash(number * 100, crash(number, number, "bad"));
    }
    let [first, second, third] = &mut nodes[..] else {
        panic!("three nodes");
    };
    tell(300, first, third);
    assert!(third.is_empty());
    tell(300, second, third);
    assert!(third.blocks(&prompt(9, "bad")), "by its own judgement");
    let mut restarted = Quarantine::default();
    tell(10_000, third, &mut restarted);
    assert!(restarted.blocks(&prompt(9, "bad")), "by the word of a peer");
}

#[test]
fn completed_elsewhere() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    for number in 0..2 {
        one.on_crash(number * 100, crash(number, number, "popular"));
    }
    tell(200, &mut one, &mut other);
    other.on_completed(210, &parts("popular"));
    tell(220, &mut other, &mut one);
    one.on_crash(300, crash(3, 3, "popular"));
    assert!(one.is_empty());
}

#[test]
fn completed_elsewhere_before() {
    // Only the other node has completed responses with the part, before the first crash.
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    other.on_completed(0, &parts("popular"));
    for number in 0..7 {
        let at_ms = 10_000 + number * 100;
        one.on_crash(at_ms, crash(number, number, "popular"));
        tell(at_ms, &mut one, &mut other);
        tell(at_ms, &mut other, &mut one);
        assert!(one.is_empty(), "after {number} crashes");
        assert!(other.is_empty(), "after {number} crashes");
    }
}

#[test]
fn lifted_everywhere() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    for number in 0..3 {
        one.on_crash(number * 100, crash(number, number, "bad"));
    }
    tell(300, &mut one, &mut other);
    assert_eq!(other.on_completed(400, &parts("bad")), [set("bad")]);
    tell(410, &mut one, &mut other);
    assert!(other.is_empty(), "an old notice does not block it again");
    tell(420, &mut other, &mut one);
    assert!(one.is_empty());
    assert!(one.notice(100_000).is_empty());
}

#[test]
fn datagrams_are_bounded() {
    let mut quarantine = Quarantine::default();
    let ids: Vec<String> = (0..32)
        .map(|part| format!("{:x}", u64::MAX - part))
        .collect();
    for number in 0..200 {
        quarantine.on_crash(number, crash(number, number, &ids.join(" ")));
    }
    let mut notice = quarantine.notice(200);
    notice.shrink(MAX_DATAGRAM_BYTES);
    assert!(!notice.is_empty());
    let datagram = notice.encode().expect("a datagram");
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    for length in 0..datagram.len() {
        assert!(Notice::decode(&datagram[..length]).is_err());
    }
}

#[test]
fn full_notices_keep_what_clears_parts() {
    let mut quarantine = Quarantine::default();
    for number in 0..200 {
        quarantine.on_crash(0, crash(number, number, "popular"));
    }
    quarantine.on_completed(200, &parts("popular"));
    let mut notice = quarantine.notice(200);
    notice.shrink(MAX_DATAGRAM_BYTES);
    assert!(!notice.crashes.is_empty());
    assert_eq!(notice.completed.len(), 1);
}
