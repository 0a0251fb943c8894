//! Guards against lost or duplicate results of an item, which happen when two nodes claim one chunk at once, a holder
//! loses its lease and writes late, the store loses responses, or the job is cancelled, archived or removed.

use std::collections::BTreeSet;

use eel_batch::{
    Archive, ChunkIndex, Done, ItemIndex, JobState, OpenChunk, Part, PartIndex, WindowIndex,
    store::{CancelOutcome, ClaimOutcome, FencedWrite, Submitted},
};
use eel_standin::kv::{Faults, KvServer};
use eel_verdict::Verdict;

use crate::store_fixture::{Until, claim, drive, lease, must_claim, open, plan, token};

const FIRST: ChunkIndex = ChunkIndex(0);

#[tokio::test]
async fn two_entries_claim_one_chunk() {
    let server = KvServer::start().await.unwrap();
    let (left, right) = (open(&server), open(&server));
    for round in 0..20 {
        let plan = plan(&format!("k{round}"), 3, true);
        left.submit(&plan, 1, token()).await.unwrap();
        let chunk = OpenChunk {
            job: plan.job,
            chunk: FIRST,
        };
        let leases = (lease(&left).await, lease(&right).await);
        let (a, b) = tokio::join!(
            claim(&left, chunk, &plan.head, leases.0),
            claim(&right, chunk, &plan.head, leases.1)
        );
        let won = [a, b]
            .into_iter()
            .filter(|outcome| matches!(outcome, ClaimOutcome::Won(_)));
        assert_eq!(won.count(), 1);
    }
}

#[tokio::test]
async fn next_holder_finishes_a_lost_chunk() {
    // Repeatable, items sent before the holder is lost, items sent by the next holder.
    let cases = [
        (true, Until::Sent(1), 20),
        (true, Until::Sent(15), 20),
        (false, Until::Sent(1), 0),
        (false, Until::Sent(20), 0),
    ];
    let cases = cases
        .into_iter()
        .flat_map(|case| [(case, false), (case, true)]);
    for ((repeatable, until, expected), abandoned) in cases {
        let server = KvServer::start().await.unwrap();
        let (left, right) = (open(&server), open(&server));
        let plan = plan("k", 20, repeatable);
        left.submit(&plan, 1, token()).await.unwrap();
        let chunk = OpenChunk {
            job: plan.job,
            chunk: FIRST,
        };
        let lost = must_claim(&left, chunk, &plan.head, lease(&left).await).await;
        let sent = drive(&left, &lost, until).await;
        if abandoned {
            // The lease of the lost holder lives on.
            let deleted = left.abandon(&lost.claim_token).await;
            assert_eq!(deleted.unwrap(), FencedWrite::Written);
        } else {
            server.revoke_leases();
        }
        let next = must_claim(&right, chunk, &plan.head, lease(&right).await).await;
        let resent = drive(&right, &next, Until::Done).await;
        assert_eq!(resent.len(), expected, "{repeatable} {until:?}");
        if !repeatable {
            assert!(sent.iter().all(|item| !resent.contains(item)));
        }
        // The lost holder resumes, and its writes are refused.
        let late = Part {
            index: PartIndex(7),
            results: Vec::new(),
            done: Some(Done::default()),
        };
        assert_eq!(
            left.commit(&lost.claim_token, &late).await.unwrap(),
            FencedWrite::Refused
        );
        let mark = left
            .mark(&lost.claim_token, WindowIndex(9), &[ItemIndex(0)])
            .await;
        assert_eq!(mark.unwrap(), FencedWrite::Refused);
        let release = left
            .release(&lost.claim_token, eel_batch::History::default())
            .await;
        assert_eq!(release.unwrap(), FencedWrite::Refused);
        let abandon = left.abandon(&lost.claim_token).await;
        assert_eq!(abandon.unwrap(), FencedWrite::Refused);
        let read = right.results(plan.job, &plan.head, FIRST, 0).await.unwrap();
        assert!(read.complete);
        assert_eq!(read.lines.len(), 20);
        for (index, line) in read.lines.iter().enumerate() {
            assert_eq!(&*line.custom_id, index.to_string());
            let unsure = line
                .error
                .is_some_and(|error| error.verdict == Verdict::MayHaveRun);
            assert_eq!(unsure, !repeatable, "{index}");
        }
        let view = right.get(plan.job).await.unwrap().unwrap();
        assert_eq!(view.progress.state, JobState::Completed);
        let failed = if repeatable { 0 } else { 20 };
        assert_eq!(
            (view.progress.completed, view.progress.failed),
            (20 - failed, failed)
        );
    }
}

#[tokio::test]
async fn lost_answers_leave_one_result() {
    for lost_responses in [1, 2, 3] {
        for repeatable in [true, false] {
            let server = KvServer::start().await.unwrap();
            let store = open(&server);
            let plan = plan("k", 20, repeatable);
            store.submit(&plan, 1, token()).await.unwrap();
            let chunk = OpenChunk {
                job: plan.job,
                chunk: FIRST,
            };
            let lease = lease(&store).await;
            let faults = Faults {
                lost_responses,
                ..Faults::default()
            };
            server.set_faults(faults.clone());
            let work = must_claim(&store, chunk, &plan.head, lease).await;
            server.set_faults(faults);
            let sent = drive(&store, &work, Until::Done).await;
            let unique: BTreeSet<_> = sent.iter().collect();
            assert_eq!((sent.len(), unique.len()), (20, 20));
            let read = store.results(plan.job, &plan.head, FIRST, 0).await.unwrap();
            assert_eq!(read.lines.len(), 20);
            assert!(read.lines.iter().all(|line| line.response.is_some()));
        }
    }
}

#[tokio::test]
async fn cancel_keeps_completed_results() {
    for completed in [1, 10, 20] {
        let server = KvServer::start().await.unwrap();
        let store = open(&server);
        let plan = plan("k", 20, true);
        store.submit(&plan, 1, token()).await.unwrap();
        let chunk = OpenChunk {
            job: plan.job,
            chunk: FIRST,
        };
        let before = store.snapshot().await.unwrap().revision;
        let work = must_claim(&store, chunk, &plan.head, lease(&store).await).await;
        assert_eq!(
            store.cancel(plan.job).await.unwrap(),
            CancelOutcome::Cancelled
        );
        let (cancels, revision) = store.cancels(before).await.unwrap();
        assert_eq!(cancels, [plan.job]);
        assert!(
            store
                .cancels(eel_types::Revision(revision.0 + 1))
                .await
                .unwrap()
                .0
                .is_empty()
        );
        assert_eq!(
            drive(&store, &work, Until::CancelAt(completed)).await.len(),
            completed
        );
        let read = store.results(plan.job, &plan.head, FIRST, 0).await.unwrap();
        let answered = read.lines.iter().filter(|line| line.response.is_some());
        // The item in flight at the cancel had been answered.
        assert_eq!(answered.count(), completed);
        assert!(read.complete);
        let view = store.get(plan.job).await.unwrap().unwrap();
        assert_eq!(view.progress.state, JobState::Cancelled);
    }
}

#[tokio::test]
async fn ended_jobs_are_archived_then_removed() {
    let server = KvServer::start().await.unwrap();
    let store = open(&server);
    let plan = plan("k", 3, true);
    store.submit(&plan, 1, token()).await.unwrap();
    let chunk = OpenChunk {
        job: plan.job,
        chunk: FIRST,
    };
    let work = must_claim(&store, chunk, &plan.head, lease(&store).await).await;
    drive(&store, &work, Until::Done).await;
    let archive = Archive {
        head: plan.head.clone(),
        cancelled: false,
        failed: 0,
    };
    store.archive(plan.job, &archive).await.unwrap();
    assert!(store.snapshot().await.unwrap().changes.is_empty());
    assert_eq!(store.cancel(plan.job).await.unwrap(), CancelOutcome::Ended);
    let remove_ms = plan.head.remove_unix_ms();
    for now_ms in [0, remove_ms - 1] {
        assert_eq!(store.sweep(now_ms).await.unwrap(), 0);
        let resend = store.submit(&plan, 9, token()).await.unwrap();
        assert!(matches!(resend, Submitted::Existing(_)));
        let read = store.results(plan.job, &plan.head, FIRST, 1).await.unwrap();
        assert_eq!((read.lines.len(), read.complete), (2, true));
    }
    assert_eq!(store.sweep(remove_ms + 3_600_000).await.unwrap(), 1);
    assert!(store.get(plan.job).await.unwrap().is_none());
    let everything = eel_store::RangeRequest::prefix("/eel/batch");
    let left = eel_store::KeyValue::range(store.store(), &everything)
        .await
        .unwrap();
    assert!(left.kvs.is_empty(), "{:?}", left.kvs);
}
