//! The lookup of a route by host and path, and the route kinds whose requests may be repeated.
//!
//! The tests guard against a short prefix that hides a longer one, and against a second run of a request that may run
//! only once.

use eel_table::{RequestLimits, Route, RouteKind, RouteTable, Share};

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        goal_ms: 100,
        priority: 0,
        shares: vec![Share {
            service: name.into(),
            weight: 1,
        }],
        max_attempts: 1,
        no_auth: false,
    }
}

#[test]
fn longest_prefix() {
    let routes = vec![
        route("all", "a.example", "/"),
        route("notes", "a.example", "/notes/"),
        route("old", "a.example", "/notes/old/"),
        route("other", "b.example", "/notes/"),
    ];
    let table = RouteTable::new(1, routes, RequestLimits::default());
    let cases = [
        ("a.example", "/notes/old/1", Some("old")),
        ("a.example", "/notes/older", Some("notes")),
        ("a.example", "/notes", Some("all")),
        ("A.Example", "/notes/1", Some("notes")),
        ("a.example:8080", "/notes/1", Some("notes")),
        ("b.example", "/notes/1", Some("other")),
        ("b.example", "/", None),
        ("c.example", "/notes/1", None),
    ];
    for (host, path, expected) in cases {
        let found = table
            .find(host, path)
            .map(|route| route.name.as_str().to_owned());
        assert_eq!(found.as_deref(), expected, "{host}{path}");
    }
}

#[test]
fn repeatable_kinds() {
    let stream = |resumable| RouteKind::Stream {
        resumable,
        event_gap_ms: 250,
    };
    let cases = [
        (RouteKind::Idempotent, true),
        (RouteKind::NonIdempotent, false),
        (stream(true), true),
        (stream(false), false),
        (
            RouteKind::Batch {
                due_ms: 1,
                give_up_ms: 2,
            },
            true,
        ),
    ];
    for (kind, expected) in cases {
        assert_eq!(kind.is_repeatable(), expected, "{kind:?}");
    }
}
