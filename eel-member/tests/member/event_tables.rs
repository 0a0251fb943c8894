//! Tables of event sequences with the expected actions of each event.
//!
//! They guard against new work for a target that is leaving, dead or superseded, and against a late or wrong VM list
//! that overrides what the target itself sends.

use eel_member::{Event, MemberState};
use eel_types::ListedVm;

use crate::fixture::{
    address, closed, feed, leaving, leaving_announced, list, membership, message, silent, vm,
};

struct Case {
    name: &'static str,
    /// The time in ms, the event, and the expected actions.
    steps: Vec<(u64, Event, Vec<&'static str>)>,
    state: Option<MemberState>,
}

/// Returns the first steps of all cases: the target is listed, linked, sends a message and is used.
fn joined() -> Vec<(u64, Event, Vec<&'static str>)> {
    vec![
        (0, list(&[vm("a")]), vec!["connect a 1"]),
        (10, message("a", 1), vec!["use a 1"]),
    ]
}

fn case(
    name: &'static str,
    steps: Vec<(u64, Event, Vec<&'static str>)>,
    state: impl Into<Option<MemberState>>,
) -> Case {
    Case {
        name,
        steps: joined().into_iter().chain(steps).collect(),
        state: state.into(),
    }
}

fn moved() -> ListedVm {
    ListedVm {
        address: address(2),
        ..vm("a")
    }
}

fn leave_cases() -> Vec<Case> {
    vec![
        case(
            "announces that it is leaving",
            vec![
                (20, leaving_announced("a", 1), vec!["stop a 1 Leaving"]),
                (30, message("a", 1), vec![]),
                (40, list(&[vm("a")]), vec![]),
                (500, Event::Tick, vec![]),
            ],
            MemberState::Leaving,
        ),
        case(
            "is listed as leaving",
            vec![
                (20, list(&[leaving("a")]), vec!["stop a 1 Leaving"]),
                (30, message("a", 1), vec![]),
            ],
            MemberState::Leaving,
        ),
        case(
            "is replaced after leaving",
            vec![
                (20, leaving_announced("a", 1), vec!["stop a 1 Leaving"]),
                (30, closed("a", Some(1)), vec![]),
                (280, Event::Tick, vec!["connect a 1"]),
                (290, message("a", 2), vec!["use a 2"]),
                (300, leaving_announced("a", 1), vec![]),
            ],
            MemberState::Live,
        ),
        case(
            "comes back as the leaving process",
            vec![
                (20, leaving_announced("a", 1), vec!["stop a 1 Leaving"]),
                (30, closed("a", Some(1)), vec![]),
                (280, Event::Tick, vec!["connect a 1"]),
                (290, message("a", 1), vec![]),
            ],
            MemberState::Leaving,
        ),
        case(
            "announces that it is leaving before its first heartbeat",
            vec![
                (20, leaving_announced("a", 2), vec!["stop a 1 Restarted"]),
                (30, message("a", 2), vec![]),
            ],
            MemberState::Leaving,
        ),
    ]
}

fn failure_cases() -> Vec<Case> {
    vec![
        case(
            "dies without closing its link",
            vec![
                (1_000, Event::Tick, vec![]),
                (1_250, Event::Tick, vec!["stop a 1 Silent"]),
                (1_750, Event::Tick, vec!["disconnect a Silent"]),
                (2_000, Event::Tick, vec!["connect a 1"]),
                (2_010, closed("a", None), vec![]),
                (2_250, Event::Tick, vec![]),
                (2_510, Event::Tick, vec!["connect a 1"]),
            ],
            MemberState::Joining,
        ),
        case(
            "has a silent link",
            vec![
                (20, silent("a", 1), vec!["stop a 1 Silent", "connect a 1"]),
                (30, message("a", 1), vec![]),
                (520, Event::Tick, vec!["use a 1"]),
            ],
            MemberState::Live,
        ),
        case(
            "has a silent link after missed heartbeats",
            vec![
                (1_250, Event::Tick, vec!["stop a 1 Silent"]),
                (1_500, silent("a", 1), vec!["connect a 1"]),
                (1_750, Event::Tick, vec![]),
                (1_800, message("a", 1), vec!["use a 1"]),
            ],
            MemberState::Live,
        ),
        case(
            "has a silent link while it is leaving",
            vec![
                (20, leaving_announced("a", 1), vec!["stop a 1 Leaving"]),
                (30, silent("a", 1), vec!["connect a 1"]),
                (40, message("a", 1), vec![]),
            ],
            MemberState::Leaving,
        ),
        case(
            "closes its link",
            vec![
                (20, closed("a", Some(1)), vec!["stop a 1 Closed"]),
                (270, Event::Tick, vec!["connect a 1"]),
            ],
            MemberState::Joining,
        ),
        case(
            "restarts under the same address",
            vec![
                (20, message("a", 2), vec!["stop a 1 Restarted"]),
                (30, message("a", 1), vec![]),
                (35, closed("a", Some(1)), vec![]),
                (40, silent("a", 1), vec![]),
                (520, message("a", 2), vec!["use a 2"]),
            ],
            MemberState::Live,
        ),
    ]
}

fn list_cases() -> Vec<Case> {
    vec![
        case(
            "is missing from the list but responds",
            vec![
                (20, list(&[vm("b")]), vec!["connect b 1"]),
                (30, message("a", 1), vec![]),
                (500, Event::Tick, vec![]),
            ],
            MemberState::Live,
        ),
        case(
            "is missing from the list and dies",
            vec![
                (20, list(&[vm("b")]), vec!["connect b 1"]),
                (30, closed("b", None), vec![]),
                (40, closed("a", Some(1)), vec!["stop a 1 Closed"]),
                (1_000, Event::Tick, vec!["connect b 1"]),
                (700_000, Event::Tick, vec!["disconnect b Silent"]),
            ],
            None,
        ),
        case(
            "empty list",
            vec![(20, list(&[]), vec![]), (30, Event::ListFailed, vec![])],
            MemberState::Live,
        ),
        case(
            "is listed at a wrong address while it responds",
            vec![
                (20, list(&[moved()]), vec![]),
                (30, message("a", 1), vec![]),
                (40, closed("a", Some(1)), vec!["stop a 1 Closed"]),
                (50, list(&[moved()]), vec![]),
                (290, Event::Tick, vec!["connect a 2"]),
            ],
            MemberState::Joining,
        ),
        case(
            "unknown VM",
            vec![
                (20, message("x", 1), vec![]),
                (30, leaving_announced("x", 1), vec![]),
                (40, closed("x", None), vec![]),
            ],
            MemberState::Live,
        ),
    ]
}

#[test]
fn actions_by_event() {
    let cases = [leave_cases(), failure_cases(), list_cases()];
    for case in cases.into_iter().flatten() {
        let mut membership = membership();
        for (now_ms, event, expected) in case.steps {
            let step = format!("{}, at {now_ms} ms: {event:?}", case.name);
            assert_eq!(feed(&mut membership, now_ms, event), expected, "{step}");
        }
        let state = membership
            .member(&"a".into())
            .map(eel_member::Member::state);
        assert_eq!(state, case.state, "{}", case.name);
    }
}

#[test]
fn late_messages_counted() {
    let mut membership = membership();
    feed(&mut membership, 0, list(&[vm("a")]));
    for incarnation in [1, 2, 1, 1, 2] {
        feed(&mut membership, 10, message("a", incarnation));
    }
    assert_eq!(membership.late_messages(), 2);
}
