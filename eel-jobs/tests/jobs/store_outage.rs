//! Guards against lost results and repeated executions while the store is down, hangs, is slow, loses responses, or
//! drops leases and watches during a job.

use std::time::Duration;

use eel_standin::kv::{Faults, KvServer};
use tokio::task::JoinSet;

use crate::fixture::{
    Entry, Executions, FakeHost, check_complete, executed, job_id, json, lines, wait_until,
};

const ITEMS: usize = 300;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_accepted_is_lost() {
    let down = Faults {
        unavailable: true,
        ..Faults::default()
    };
    let hang = Faults {
        hang: true,
        ..Faults::default()
    };
    let slow = Faults {
        delay_ms: 200,
        response_delay_ms: 200,
        ..Faults::default()
    };
    let lossy = Faults {
        lost_responses: 5,
        ..Faults::default()
    };
    let mut cases = JoinSet::new();
    for (name, faults) in [
        ("down", down),
        ("hang", hang),
        ("slow", slow),
        ("lossy", lossy),
    ] {
        for repeatable in [true, false] {
            cases.spawn(run_with_faults(name, faults.clone(), repeatable));
        }
    }
    cases.join_all().await;
}

/// Injects `faults` in the middle of a job for longer than the lease's time to live.
async fn run_with_faults(name: &str, faults: Faults, repeatable: bool) {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let entry = Entry::start(&server, "entry-a", FakeHost::new(&executions)).await;
    let job = job_id(entry.submit("k", lines(ITEMS), repeatable).await).await;
    wait_until(|| executed(&executions) >= ITEMS / 3).await;
    server.set_faults(faults.clone());
    tokio::time::sleep(Duration::from_secs(3)).await;
    if faults.unavailable || faults.hang {
        let refused = entry.submit("other", lines(3), true).await;
        assert_eq!(refused.status(), 503, "{name}");
        assert_eq!(refused.headers()["x-eel-verdict"], "not-run");
        assert!(refused.headers().contains_key("retry-after"));
        assert_eq!(json(refused).await["error"]["type"], "store-unavailable");
    }
    server.set_faults(Faults::default());
    let completed = check_complete(&entry.results(&job).await, ITEMS);
    if repeatable {
        assert_eq!(completed, ITEMS, "{name}");
    } else {
        let counts = executions.lock().unwrap().clone();
        assert!(counts.values().all(|count| *count == 1), "{name}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lease_and_watch_lost() {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let entry = Entry::start(&server, "entry-a", FakeHost::new(&executions)).await;
    let job = job_id(entry.submit("k", lines(ITEMS), true).await).await;
    wait_until(|| executed(&executions) >= ITEMS / 3).await;
    server.close_watches();
    server.compact();
    server.revoke_leases();
    assert_eq!(check_complete(&entry.results(&job).await, ITEMS), ITEMS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancel_under_a_silent_watch() {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let mut host = FakeHost::new(&executions);
    host.run_ms = 50;
    let entry = Entry::start(&server, "entry-a", host).await;
    let job = job_id(entry.submit("k", lines(1_000), true).await).await;
    wait_until(|| executed(&executions) >= 20).await;
    server.set_faults(Faults {
        silence_new_watches: true,
        ..Faults::default()
    });
    server.silence_watches();
    let response = entry.post(&format!("/{job}/cancel")).send().await.unwrap();
    assert_eq!(json(response).await["state"], "cancelling");
    let results = entry.results(&job).await;
    let completed = check_complete(&results, 1_000);
    assert!((8..1_000).contains(&completed), "{completed}");
    assert_eq!(entry.status(&job).await["state"], "cancelled");
    let unstarted = results
        .iter()
        .filter(|line| line["error"]["verdict"] == "not-run");
    assert!(executed(&executions) + unstarted.count() <= 1_000);
}
