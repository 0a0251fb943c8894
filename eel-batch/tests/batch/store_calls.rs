//! Measures the store calls per 1,000 items, from submission to the removal of the results, and the bytes sent to a
//! node that watches the state.

use eel_batch::{Archive, OpenChunk};
use eel_standin::kv::{CallCounts, KvServer};
use eel_types::Revision;
use futures_util::StreamExt as _;

use crate::store_fixture::{Until, drive, lease, must_claim, open, plan, token};

const ITEMS: u32 = 18_000;
/// The budget of writes per 1,000 repeatable items in steady state.
const MAX_WRITES: f64 = 4.0;
/// The budget of reads per 1,000 repeatable items in steady state.
const MAX_READS: f64 = 6.0;
/// The design load: items per day over seconds per day.
const ITEMS_PER_S: f64 = 910e6 / 86_400.0;

/// Runs one job from submission to removal and returns the store's counters.
async fn run_job(repeatable: bool, watched: bool) -> CallCounts {
    let server = KvServer::start().await.unwrap();
    let store = open(&server);
    let lease = lease(&store).await;
    let watch = watched.then(|| {
        let mut events = store.watch(Revision(server.revision()));
        tokio::spawn(async move { while events.next().await.is_some() {} })
    });
    while watched && server.counts().open_watches == 0 {
        tokio::task::yield_now().await;
    }
    let plan = plan("k", ITEMS as usize, repeatable);
    store.find_resend(&plan).await.unwrap();
    store.submit(&plan, 1, token()).await.unwrap();
    for chunk in plan.head.chunks() {
        let open = OpenChunk {
            job: plan.job,
            chunk,
        };
        let work = must_claim(&store, open, &plan.head, lease).await;
        drive(&store, &work, Until::Done).await;
        let read = store.results(plan.job, &plan.head, chunk, 0).await.unwrap();
        assert!(read.complete);
    }
    store.get(plan.job).await.unwrap();
    let archive = Archive {
        head: plan.head.clone(),
        cancelled: false,
        failed: 0,
    };
    store.archive(plan.job, &archive).await.unwrap();
    store.sweep(plan.head.remove_unix_ms() * 2).await.unwrap();
    let counts = server.counts();
    if let Some(watch) = watch {
        watch.abort();
    }
    counts
}

fn per_thousand(calls: u64) -> f64 {
    let calls = u32::try_from(calls).unwrap();
    f64::from(calls) * 1_000.0 / f64::from(ITEMS)
}

#[tokio::test]
async fn calls_per_thousand_items() {
    for repeatable in [true, false] {
        let counts = run_job(repeatable, false).await;
        let watched = run_job(repeatable, true).await;
        // The grant of the lease is a write of the node, not of the job.
        let writes = per_thousand(counts.writes - 1);
        let reads = per_thousand(counts.reads);
        let heard = per_thousand(watched.bytes_out - counts.bytes_out);
        println!(
            "repeatable {repeatable}: {writes:.2} writes and {reads:.2} reads per 1,000 items, \
             {heard:.0} bytes to each watching node; at 910 million items a day {:.0} writes/s, \
             {:.0} reads/s, {:.0} bytes/s to each",
            writes * ITEMS_PER_S / 1_000.0,
            reads * ITEMS_PER_S / 1_000.0,
            heard * ITEMS_PER_S / 1_000.0,
        );
        if repeatable {
            assert!(writes <= MAX_WRITES && reads <= MAX_READS);
        }
    }
}
