//! Something between entry and target node loses track of their link, while new ones work.

use eel_standin::engine::Fault;

use crate::{
    fleet::{Entry, Platform, Relay, Service, Silence, Target, eventually},
    outcome::{Heard, call, check, hear},
};

const DEADLINE_MS: u64 = 20_000;

async fn start() -> (Platform, Target, Relay, Entry) {
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let target = platform.target("t1", "dispatch-runners").await;
    let relay = platform.relay(&target).await;
    let entry = platform.entry("e1").await;
    (platform, target, relay, entry)
}

#[tokio::test]
async fn a_copy_held_back_never_starts_after_its_settlement() {
    for silence in [Silence::ToTarget, Silence::ToEntry, Silence::Both] {
        for repeatable in [false, true] {
            let case = format!("{silence:?}, repeatable: {repeatable}");
            let (_platform, target, relay, entry) = start().await;
            relay.silence(silence);
            let heard = hear(call(&entry, repeatable, "a", DEADLINE_MS)).await;
            eventually("a new link works", async || {
                hear(call(&entry, true, "probe", DEADLINE_MS)).await == Heard::Answer
            })
            .await;
            let before = target.engine.counts().of("a").started;
            relay.release().await;
            let heard_after = hear(call(&entry, true, "after", DEADLINE_MS)).await;
            assert_eq!(heard_after, Heard::Answer, "{case}");
            check(&case, &heard, repeatable, "a", &[&target.engine]);
            let after = target.engine.counts().of("a").started;
            assert_eq!(before, after, "{case}: the copy started");
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
    let (heard, ()) = tokio::join!(hear(call(&entry, false, "a", DEADLINE_MS)), silenced);
    assert_eq!(heard, Heard::Verdict("may-have-run".to_owned()));
    check(
        "silenced while it ran",
        &heard,
        false,
        "a",
        &[&target.engine],
    );
}
