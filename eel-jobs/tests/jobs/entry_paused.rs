//! Guards against late writes of an entry node whose process is paused until after its lease has expired. It resumes,
//! unaware of the expiry, after another node has finished the job.

use std::sync::{Arc, atomic::Ordering};

use eel_standin::kv::KvServer;

use crate::fixture::{
    Entry, Executions, FakeHost, check_complete, executed, job_id, lines, new_node, wait_until,
};

const ITEMS: usize = 300;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_writes_are_refused() {
    for repeatable in [true, false] {
        let server = KvServer::start().await.unwrap();
        let executions = Executions::default();
        let host = FakeHost::new(&executions);
        let pause = host.pause.clone();
        let paused = new_node(&server, "entry-a", host);
        let second = Entry::start(&server, "entry-b", FakeHost::new(&executions)).await;
        // The second node has no credits yet, so that the first one claims the chunks.
        second.set_credits(0);
        let job = job_id(second.submit("k", lines(ITEMS), repeatable).await).await;
        let thread = {
            let node = Arc::clone(&paused);
            std::thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .unwrap();
                runtime.block_on(node.run());
            })
        };
        wait_until(|| executed(&executions) >= ITEMS / 3).await;
        pause.store(true, Ordering::Relaxed);
        second.set_credits(8);
        let results = second.results(&job).await;
        let completed = check_complete(&results, ITEMS);
        pause.store(false, Ordering::Relaxed);
        paused.start_drain();
        tokio::task::spawn_blocking(|| thread.join().unwrap())
            .await
            .unwrap();
        // The writes of the resumed node changed nothing.
        assert_eq!(second.results(&job).await, results);
        let counts = executions.lock().unwrap().clone();
        if repeatable {
            assert_eq!(completed, ITEMS);
        } else {
            assert!(counts.values().all(|count| *count == 1));
        }
    }
}
