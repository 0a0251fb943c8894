//! Guards against endless restarts of a failing task: they are limited within a sliding window, and counted.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use eel_supervise::{ChildError, RestartDecision, RestartHistory, RestartPolicy, Supervisor};
use error_stack::Report;
use tokio_util::sync::CancellationToken;

const POLICY: RestartPolicy = RestartPolicy {
    max_restarts: 2,
    window_ms: 1_000,
    pause_ms: 1,
};

#[test]
fn window_slides() {
    let mut restarts = RestartHistory::new(POLICY);
    let cases = [
        (0, RestartDecision::Restart { pause_ms: 1 }),
        (10, RestartDecision::Restart { pause_ms: 2 }),
        (20, RestartDecision::GiveUp),
        (1_005, RestartDecision::Restart { pause_ms: 2 }),
        (3_000, RestartDecision::Restart { pause_ms: 1 }),
    ];
    for (now_ms, expected) in cases {
        assert_eq!(restarts.on_failure(now_ms), expected, "at {now_ms} ms");
    }
}

#[tokio::test]
async fn panics_are_restarted() {
    let starts = Arc::new(AtomicU64::new(0));
    let mut supervisor = Supervisor::new(CancellationToken::new(), POLICY);
    let counter = supervisor.restarts();
    let seen = starts.clone();
    supervisor.spawn("child", move || {
        let start = seen.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(start != 0, "the first start panics");
            Ok(())
        }
    });
    supervisor.join().await.expect("the second start ends well");
    assert_eq!(starts.load(Ordering::Relaxed), 2);
    assert_eq!(counter.get(), 1);
}

#[tokio::test]
async fn gives_up() {
    let stop = CancellationToken::new();
    let mut supervisor = Supervisor::new(stop.clone(), POLICY);
    supervisor.spawn("child", || async { Err(Report::new(ChildError)) });
    let sibling = stop.clone();
    supervisor.spawn("sibling", move || {
        let stop = sibling.clone();
        async move {
            stop.cancelled().await;
            Ok(())
        }
    });
    let error = supervisor.join().await.expect_err("it fails every time");
    assert_eq!(error.current_context().child, "child");
    assert!(stop.is_cancelled());
}
