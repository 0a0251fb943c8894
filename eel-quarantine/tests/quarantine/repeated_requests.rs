//! Requests that come again and crash targets by themselves.
//!
//! Guards against a request that is not recognised when it comes again, against another one that is taken for it, and
//! against a sound request that is blamed because it was broken off beside the guilty one.

use eel_quarantine::{Crash, Notice, Part, Prompt, Quarantine, RequestIdentity, Scope};

const SPACING_MS: u64 = 100;

fn identity() -> RequestIdentity<'static> {
    RequestIdentity {
        method: "POST",
        host: b"portal.example",
        path: "/check/1",
        caller: b"one",
        body: b"body",
    }
}

#[test]
fn what_makes_requests_differ() {
    let same = identity().fingerprint();
    assert_eq!(same, identity().fingerprint());
    let others = [
        (
            "method",
            RequestIdentity {
                method: "PUT",
                ..identity()
            },
        ),
        (
            "host",
            RequestIdentity {
                host: b"other.example",
                ..identity()
            },
        ),
        (
            "path",
            RequestIdentity {
                path: "/check/2",
                ..identity()
            },
        ),
        (
            "query",
            RequestIdentity {
                path: "/check/1?a=1",
                ..identity()
            },
        ),
        (
            "caller",
            RequestIdentity {
                caller: b"two",
                ..identity()
            },
        ),
        (
            "body",
            RequestIdentity {
                body: b"bodies",
                ..identity()
            },
        ),
        (
            "no body",
            RequestIdentity {
                body: b"",
                ..identity()
            },
        ),
        (
            "bounds of fields",
            RequestIdentity {
                caller: b"oneb",
                body: b"ody",
                ..identity()
            },
        ),
    ];
    for (name, other) in others {
        assert_ne!(same, other.fingerprint(), "{name}");
    }
}

fn request(id: u64, fingerprint: &str) -> Prompt {
    Prompt {
        request: id,
        parts: vec![Part::from_id(fingerprint)],
    }
}

/// A step of a scenario, one each 100 ms.
enum Step {
    /// The target ends while requests run there, each with an id and a fingerprint.
    Ends(u64, &'static [(u64, &'static str)]),
    Completes(&'static str),
}

fn play(steps: &[Step]) -> Quarantine {
    let mut quarantine = Quarantine::new(Scope::Requests);
    for (number, step) in (0..).zip(steps) {
        let now_ms = number * SPACING_MS;
        match step {
            Step::Ends(target, requests) => {
                for (id, fingerprint) in *requests {
                    let crash = Crash {
                        target: *target,
                        prompt: request(*id, fingerprint),
                    };
                    quarantine.on_crash(now_ms, crash);
                }
            }
            Step::Completes(fingerprint) => {
                quarantine.on_completed(now_ms, &[Part::from_id(fingerprint)]);
            }
        }
    }
    quarantine.judge(SPACING_MS * 100);
    quarantine
}

#[test]
fn guilty_and_sound_ones() {
    use Step::{Completes, Ends};
    let cases: [(&str, Vec<Step>, bool, bool); 7] = [
        (
            "comes again",
            vec![
                Ends(1, &[(1, "a")]),
                Ends(2, &[(1, "a")]),
                Ends(3, &[(2, "a")]),
            ],
            true,
            false,
        ),
        (
            "does not come again",
            vec![
                Ends(1, &[(1, "a")]),
                Ends(2, &[(1, "a")]),
                Ends(3, &[(1, "a")]),
            ],
            false,
            false,
        ),
        (
            "completes in between",
            vec![
                Ends(1, &[(1, "a")]),
                Ends(2, &[(1, "a")]),
                Completes("a"),
                Ends(3, &[(2, "a")]),
            ],
            false,
            false,
        ),
        (
            "another one beside it once",
            vec![
                Ends(1, &[(1, "a"), (11, "b")]),
                Ends(2, &[(1, "a")]),
                Ends(3, &[(2, "a")]),
            ],
            true,
            false,
        ),
        (
            "another one beside it each time, not told apart yet",
            vec![
                Ends(1, &[(1, "a"), (11, "b")]),
                Ends(2, &[(1, "a"), (11, "b")]),
                Ends(3, &[(2, "a"), (12, "b")]),
            ],
            false,
            false,
        ),
        (
            "another one beside it that then completes",
            vec![
                Ends(1, &[(1, "a"), (11, "b")]),
                Ends(2, &[(1, "a"), (11, "b")]),
                Ends(3, &[(2, "a"), (12, "b")]),
                Completes("b"),
                Ends(4, &[(3, "a"), (13, "b")]),
            ],
            true,
            false,
        ),
        (
            "two that are never told apart",
            vec![
                Ends(1, &[(1, "a"), (11, "b")]),
                Ends(2, &[(1, "a"), (11, "b")]),
                Ends(3, &[(2, "a"), (12, "b")]),
                Ends(4, &[(2, "a"), (12, "b")]),
                Ends(5, &[(3, "a"), (13, "b")]),
            ],
            true,
            true,
        ),
    ];
    for (name, steps, a_is_blocked, b_is_blocked) in cases {
        let quarantine = play(&steps);
        assert_eq!(quarantine.blocks(&request(99, "a")), a_is_blocked, "{name}");
        assert_eq!(quarantine.blocks(&request(99, "b")), b_is_blocked, "{name}");
    }
}

#[test]
fn notices_of_scopes_are_apart() {
    for scope in Scope::ALL {
        let mut quarantine = Quarantine::new(scope);
        let crash = Crash {
            target: 1,
            prompt: request(1, "a"),
        };
        quarantine.on_crash(0, crash);
        let datagram = quarantine.notice(1).encode().expect("a datagram");
        let notice = Notice::decode(&datagram).expect("a notice");
        assert_eq!(notice.scope, scope);
        assert_eq!(notice.crashes.len(), 1);
    }
}
