//! A device between entry and target node holds back or drops the datagrams of the existing link; new links work.
//!
//! Guards against a request that starts after its attempt was settled, and against a wrong verdict about a request that
//! was running. A delayed datagram can bring the request to the target node after the entry node gave up on the link.

use eel_standin::engine::Fault;

use crate::{
    fleet::{Entry, Platform, Relay, Service, Silence, Target, eventually},
    outcome::{CallerOutcome, call, check_verdict, outcome_of},
};

const DEADLINE_MS: u64 = 20_000;

async fn start() -> (Platform, Target, Relay, Entry) {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let target = platform.start_target("t1", "dispatch-runners").await;
    let relay = platform.start_relay(&target).await;
    let entry = platform.start_ready_entry("e1").await;
    (platform, target, relay, entry)
}

#[tokio::test]
async fn a_copy_held_back_never_starts_after_its_settlement() {
    for silence in [Silence::ToTarget, Silence::ToEntry, Silence::Both] {
        for repeatable in [false, true] {
            let case = format!("{silence:?}, repeatable: {repeatable}");
            let (_platform, target, relay, entry) = start().await;
            relay.silence(silence);
            let outcome = outcome_of(call(&entry, repeatable, "a", DEADLINE_MS)).await;
            eventually("a new link works", async || {
                outcome_of(call(&entry, true, "probe", DEADLINE_MS)).await == CallerOutcome::Success
            })
            .await;
            let before = target.engine.counts().of("a").started;
            relay.release().await;
            let outcome_after = outcome_of(call(&entry, true, "after", DEADLINE_MS)).await;
            assert_eq!(outcome_after, CallerOutcome::Success, "{case}");
            check_verdict(&case, &outcome, repeatable, "a", &[&target.engine]);
            let after = target.engine.counts().of("a").started;
            assert_eq!(
                before, after,
                "{case}: the request started after its settlement"
            );
        }
    }
}

#[tokio::test]
async fn what_runs_on_a_silent_link_is_settled() {
    let (_platform, target, relay, entry) = start().await;
    target.engine.set_fault(Fault::Hang);
    let silenced = async {
        let counts = target.engine.counts();
        counts.wait_for("a", |one| one.started == 1).await;
        relay.silence(Silence::Both);
    };
    let (outcome, ()) = tokio::join!(outcome_of(call(&entry, false, "a", DEADLINE_MS)), silenced);
    assert_eq!(outcome, CallerOutcome::Verdict("may-have-run".to_owned()));
    check_verdict(
        "silenced while it ran",
        &outcome,
        false,
        "a",
        &[&target.engine],
    );
}
