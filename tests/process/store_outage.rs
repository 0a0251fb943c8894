//! Online requests are served while the key-value service is unavailable, also by an entry node that starts then.
//!
//! Guards against an outage of the service that stops online requests, which happens when a node reads the service for
//! each request, or when a node that starts does not fetch the records from the target nodes.

use eel_standin::kv::Faults;
use nix::sys::signal::Signal;

use crate::fleet::{Platform, Service};

const SHORT: &str = r#"{"model":"scribe","prompt":"x","max_tokens":1}"#;

#[tokio::test]
async fn serving_goes_on() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let _target = platform.start_target("t1", "scribe-runners").await;
    let entry = platform.start_ready_entry("e1").await;
    platform.store.set_faults(Faults {
        unavailable: true,
        ..Faults::default()
    });
    for _ in 0..20 {
        let response = entry.complete("a", SHORT).await.expect("a response");
        assert_eq!(response.status(), 200);
    }
}

#[tokio::test]
async fn started_in_outage() {
    let mut platform = Platform::start(&[Service::Scribe]).await;
    let _target = platform.start_target("t1", "scribe-runners").await;
    let first = platform.start_ready_entry("e1").await;
    let configured = first.complete("a", SHORT).await.expect("a response");
    assert_eq!(configured.status(), 200);
    platform.store.set_faults(Faults {
        unavailable: true,
        ..Faults::default()
    });
    first.node.signal(Signal::SIGKILL);
    let second = platform.start_ready_entry("e2").await;
    let response = second.complete("b", SHORT).await.expect("a response");
    assert_eq!(response.status(), 200, "{}", second.node.log());
}
