//! Services of split routes that have no target.
//!
//! Guards against items that move to another service while their target only starts again, and against items that wait for
//! a service whose targets are gone.

use eel_fleet::AbsentServices;
use eel_types::Name;

#[test]
fn gone_for_two_seconds() {
    let services = [Name::from("old"), Name::from("new")];
    let mut absent = AbsentServices::default();
    // The time, whether `new` has a target, and whether it counts as absent afterwards.
    let steps = [
        (0, false, false),
        (1_999, false, false),
        (2_000, false, true),
        (2_100, true, false),
        (2_200, false, false),
        (3_100, true, false),
        (3_200, false, false),
        (5_199, false, false),
        (9_000, false, true),
    ];
    let mut before = false;
    for (now_ms, has_target, is_absent) in steps {
        let has = |it: &Name| has_target || **it == *"old";
        let is_changed = absent.observe(now_ms, &services, has);
        assert_eq!(absent.contains(&services[1]), is_absent, "at {now_ms}");
        assert_eq!(is_changed, is_absent != before, "at {now_ms}");
        assert!(!absent.contains(&services[0]));
        before = is_absent;
    }
    // No route is split any more.
    assert!(absent.observe(9_001, &[], |_| false));
    assert!(absent.names().is_empty());
}
