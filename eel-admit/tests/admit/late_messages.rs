//! A request that is delayed in delivery keeps the deadline of its sender.
//!
//! If the time left counted from its arrival, a request from the socket buffer of a stopped process would run after its
//! deadline.

use eel_admit::LinkClock;

#[test]
fn the_deadline_counts_from_sending() {
    struct Case {
        name: &'static str,
        sent_ms: u64,
        now_ms: u64,
        deadline_ms: u64,
    }
    let cases = [
        Case {
            name: "prompt",
            sent_ms: 2_000,
            now_ms: 902_000,
            deadline_ms: 902_500,
        },
        Case {
            name: "held for 300 ms",
            sent_ms: 2_000,
            now_ms: 902_300,
            deadline_ms: 902_500,
        },
        Case {
            name: "held past its deadline",
            sent_ms: 2_000,
            now_ms: 962_000,
            deadline_ms: 902_500,
        },
    ];
    for case in cases {
        let mut clock = LinkClock::default();
        assert_eq!(clock.observe(900_007, 0), 0);
        assert_eq!(clock.observe(901_000, 1_000), 0);
        let deadline_ms = clock.deadline_ms(case.now_ms, case.sent_ms, 500);
        assert_eq!(deadline_ms, case.deadline_ms, "{}", case.name);
    }
}
