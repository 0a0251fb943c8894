//! The split of a route's requests among services by weight.
//!
//! The tests guard against a split that ignores the weights, and against a retry that goes to another service.

use eel_table::{Route, RouteKind, Share};
use quickcheck::{QuickCheck, TestResult};

fn split(weights: &[u32]) -> Route {
    let shares = weights.iter().enumerate();
    Route {
        name: "split".into(),
        host: "a.example".into(),
        path_prefix: "/".into(),
        kind: RouteKind::NonIdempotent,
        timeout_ms: 1_000,
        goal_ms: 100,
        priority: 0,
        shares: shares
            .map(|(index, &weight)| Share {
                service: format!("s{index}").into(),
                weight,
            })
            .collect(),
        max_attempts: 1,
        no_auth: false,
    }
}

#[test]
fn weights_hold() {
    let route = split(&[90, 10, 0]);
    let mut counts = [0; 3];
    for request in 0..10_000 {
        let service = route
            .service_for(&format!("request-{request}"))
            .expect("a service");
        counts[usize::from(service.as_bytes()[1] - b'0')] += 1;
    }
    assert!((8_700..9_300).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[2], 0, "a share with weight 0 gets no requests");
}

#[test]
fn same_service_again() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(id: String, weights: Vec<u32>) -> TestResult {
        if weights.is_empty() {
            return TestResult::from_bool(split(&weights).service_for(&id).is_none());
        }
        let route = split(&weights);
        let first = route.service_for(&id);
        TestResult::from_bool(first.is_some() && first == route.service_for(&id))
    }
    QuickCheck::new().quickcheck(holds as fn(String, Vec<u32>) -> TestResult);
}

#[test]
fn service_without_targets() {
    let route = split(&[60, 30, 10, 0]);
    let mut counts = [0; 4];
    for request in 0..10_000 {
        let id = format!("request-{request}");
        let selected = route.service_for(&id).expect("a service");
        let service = route.service_among(&id, |it| **it != *"s0");
        let service = service.expect("a service");
        if **selected != *"s0" {
            assert_eq!(service, selected, "it stays where it is");
            continue;
        }
        counts[usize::from(service.as_bytes()[1] - b'0')] += 1;
    }
    assert_eq!((counts[0], counts[3]), (0, 0), "{counts:?}");
    let moved = counts[1] + counts[2];
    assert!(
        (moved * 70..moved * 80).contains(&(counts[1] * 100)),
        "{counts:?}"
    );
    // Without another service, or with none but those of weight 0, requests wait for the selected one.
    for route in [split(&[1, 0]), split(&[0, 0]), split(&[5])] {
        let only_other = |it: &eel_types::Name| **it == *"s1";
        let service = route.service_among("r", only_other);
        assert_eq!(service, route.service_for("r"));
    }
}
