//! Targets that say in their responses that they are leaving.
//!
//! Guards against requests and items to a target that is about to exit, while the store still lists it as ready.

use eel_platform::standin::Behaviour;

use crate::fixture::{Fleet, fleet, wait_until};

/// Sends requests until `is_seen` holds, at least 20 of them.
async fn send_until(fleet: &Fleet, path: &str, prefix: &str, is_seen: impl Fn(&Fleet) -> bool) {
    let mut number = 0;
    while number < 20 || !is_seen(fleet) {
        let sent = fleet.post(0, path, &format!("{prefix}{number}")).send();
        let response = sent.await.expect("a response");
        response.bytes().await.expect("a body");
        number += 1;
        assert!(number < 1_000, "{path}: {prefix}");
    }
}

#[tokio::test]
async fn no_request_after_its_answer() {
    let cases = [
        ("/idempotent/1", Behaviour::Responds),
        ("/once/1", Behaviour::Responds),
        ("/once/1", Behaviour::Fails),
        ("/once-stream/1", Behaviour::Responds),
        ("/resumable-stream/1", Behaviour::Responds),
    ];
    for (path, behaviour) in cases {
        let fleet = fleet(1, 2).await;
        let leaving = &fleet.targets[0];
        leaving.set_default_behaviour(behaviour);
        leaving.set_leaving(true);
        send_until(&fleet, path, "first-", |fleet| {
            fleet.targets[0].total_runs() > 0
        })
        .await;
        assert_eq!(leaving.total_runs(), 1, "{path}");

        leaving.announce(&fleet.store, "ready");
        send_until(&fleet, path, "listed-", |_| true).await;
        fleet.store.remove("servers/i-0");
        tokio::time::sleep(std::time::Duration::from_millis(600)).await;
        leaving.announce(&fleet.store, "ready");
        tokio::time::sleep(std::time::Duration::from_millis(600)).await;
        send_until(&fleet, path, "again-", |_| true).await;
        let items = ["stream/1", "stream/2", "stream/3", "stream/4"];
        assert_eq!(fleet.submit(0, "j1", &items).await, 202);
        fleet.results(0, "j1", items.len()).await;
        assert_eq!(leaving.total_runs(), 1, "{path}");
    }
}

#[tokio::test]
async fn refusal_says_it() {
    let fleet = fleet(1, 2).await;
    fleet.targets[0].set_leaving(true);
    fleet.targets[0].set_default_behaviour(Behaviour::Full);
    send_until(&fleet, "/idempotent/1", "full-", |_| true).await;
    fleet.targets[0].set_default_behaviour(Behaviour::Responds);
    // A target that was full is used again after 50 ms.
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    send_until(&fleet, "/idempotent/1", "after-", |_| true).await;
    assert_eq!(fleet.targets[0].total_runs(), 0);
}

#[tokio::test]
async fn next_start_is_used() {
    let fleet = fleet(1, 2).await;
    fleet.targets[0].set_leaving(true);
    send_until(&fleet, "/once/1", "first-", |fleet| {
        fleet.targets[0].total_runs() > 0
    })
    .await;
    fleet.targets[0].set_leaving(false);
    fleet.targets[0].announce_restarted(&fleet.store, 2);
    wait_until("the target is used again", async || {
        send_until(&fleet, "/once/1", "restarted-", |_| true).await;
        fleet.targets[0].total_runs() > 1
    })
    .await;
}
