//! Guards against lost or duplicate results when an entry node that holds claims is killed or shuts down and another
//! one takes over its chunks.

use eel_standin::kv::KvServer;

use crate::fixture::{
    Entry, Executions, FakeHost, check_complete, executed, job_id, lines, wait_until,
};

const ITEMS: usize = 300;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_entry_finishes() {
    for repeatable in [true, false] {
        let server = KvServer::start().await.unwrap();
        let executions = Executions::default();
        let first = Entry::start(&server, "entry-a", FakeHost::new(&executions)).await;
        let job = job_id(first.submit("k", lines(ITEMS), repeatable).await).await;
        wait_until(|| executed(&executions) >= ITEMS / 3).await;
        first.kill();
        let second = Entry::start(&server, "entry-b", FakeHost::new(&executions)).await;
        let results = second.results(&job).await;
        let completed = check_complete(&results, ITEMS);
        assert_eq!(second.status(&job).await["state"], "completed");
        let counts = executions.lock().unwrap().clone();
        if repeatable {
            assert_eq!(completed, ITEMS);
        } else {
            assert!(counts.values().all(|count| *count == 1));
            // Only items that were marked as started and have no result are reported as may-have-run.
            let unknown = results.iter().filter(|line| !line["error"].is_null());
            assert!(
                unknown
                    .clone()
                    .all(|line| line["error"]["verdict"] == "may-have-run")
            );
            assert_eq!(unknown.count() + completed, ITEMS);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_entry_hands_back() {
    for repeatable in [true, false] {
        let server = KvServer::start().await.unwrap();
        let executions = Executions::default();
        let first = Entry::start(&server, "entry-a", FakeHost::new(&executions)).await;
        let job = job_id(first.submit("k", lines(ITEMS), repeatable).await).await;
        wait_until(|| executed(&executions) >= ITEMS / 3).await;
        first.drain().await;
        let before = executed(&executions);
        assert!(before < ITEMS);
        let second = Entry::start(&server, "entry-b", FakeHost::new(&executions)).await;
        let results = second.results(&job).await;
        assert_eq!(check_complete(&results, ITEMS), ITEMS);
        // No item was aborted and no item ran twice.
        assert!(executions.lock().unwrap().values().all(|count| *count == 1));
    }
}
