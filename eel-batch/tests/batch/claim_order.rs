//! Guards against claims in the wrong order: less urgent jobs or jobs that are due later first, several nodes on one
//! chunk, or chunks that are done.

use std::collections::BTreeMap;

use eel_batch::{Change, ChunkIndex, Claim, Done, Head, JobId, LiveJobs, OpenChunk, Urgency};
use eel_types::Name;

fn head(deadline_unix_ms: u64, chunks: usize) -> Head {
    Head {
        schema: Head::SCHEMA,
        caller: "ridgelog".into(),
        service: "scribe".into(),
        digest: "d".into(),
        token: 0,
        repeatable: true,
        accepted_unix_ms: 0,
        deadline_unix_ms,
        retention_ms: 0,
        chunk_items: vec![1_000; chunks],
    }
}

fn claimed(open: OpenChunk) -> Change {
    let claim = Claim {
        holder: "a".into(),
        token: 0,
    };
    Change::Claimed(open.job, open.chunk, claim)
}

fn live_jobs(me: &str, peers: &[&str]) -> LiveJobs {
    let mut live_jobs = LiveJobs::new(me.into());
    for peer in peers {
        live_jobs.record_peer(0, Name::from(*peer));
    }
    live_jobs
}

#[test]
fn earliest_deadline_first() {
    let mut live_jobs = live_jobs("a", &[]);
    for (job, deadline_unix_ms) in [(1, 3_000_000), (2, 1_000_000), (3, 2_000_000)] {
        live_jobs.apply(0, Change::Accepted(JobId(job), head(deadline_unix_ms, 1)));
    }
    let mut order = Vec::new();
    while let Some(open) = live_jobs.next_claim(0, "scribe") {
        order.push(open.job.0);
        live_jobs.apply(0, claimed(open));
    }
    assert_eq!(order, [2, 3, 1]);
    assert_eq!(live_jobs.next_claim(0, "other"), None);
}

#[test]
fn urgency_precedes_deadline() {
    let mut live_jobs = live_jobs("a", &[]);
    let (small, large) = (JobId(1), JobId(2));
    live_jobs.apply(0, Change::Accepted(small, head(100_000, 2)));
    live_jobs.apply(0, Change::Accepted(large, head(120_000, 100)));
    // At 1,000 items per second, the large job needs 100 s of its 120 s.
    live_jobs.apply(1_000, Change::Done(large, ChunkIndex(0), Done::default()));
    live_jobs.refresh(1_000);
    assert_eq!(live_jobs.urgency(small), Some(Urgency::Normal));
    assert_eq!(live_jobs.urgency(large), Some(Urgency::High));
    assert_eq!(live_jobs.next_claim(1_000, "scribe").unwrap().job, large);
    live_jobs.refresh(30_000);
    assert_eq!(live_jobs.late_jobs(), 1);
    assert_eq!(live_jobs.urgency(large), Some(Urgency::Critical));
}

#[test]
fn nodes_start_with_different_chunks() {
    const NODES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    let mut firsts = BTreeMap::<ChunkIndex, u32>::new();
    for me in NODES {
        let mut live_jobs = live_jobs(me, &NODES);
        live_jobs.apply(0, Change::Accepted(JobId(9), head(1_000_000, 30)));
        while let Some(open) = live_jobs.next_claim(0, "scribe") {
            *firsts.entry(open.chunk).or_default() += 1;
            live_jobs.apply(0, claimed(open));
        }
    }
    // A new chunk is offered to exactly one node at first, and to every node after a while.
    assert_eq!(firsts.len(), 30);
    assert!(firsts.values().all(|nodes| *nodes == 1));
    let mut late = live_jobs("a", &NODES);
    late.apply(0, Change::Accepted(JobId(9), head(1_000_000, 1)));
    assert!(late.next_claim(500, "scribe").is_some());
}

#[test]
fn late_jobs_are_abandoned() {
    let mut live_jobs = live_jobs("a", &[]);
    live_jobs.apply(0, Change::Accepted(JobId(1), head(5_000, 1)));
    live_jobs.refresh(4_999);
    assert!(live_jobs.next_claim(0, "scribe").is_some());
    assert_eq!(live_jobs.next_abandoned(0), None);
    live_jobs.refresh(5_000);
    assert_eq!(live_jobs.next_claim(0, "scribe"), None);
    assert!(live_jobs.next_abandoned(0).is_some());
    assert!(live_jobs.queued("scribe").is_empty());
}

#[test]
fn closed_chunks_stay_closed() {
    let open = OpenChunk {
        job: JobId(1),
        chunk: ChunkIndex(0),
    };
    let mut live_jobs = live_jobs("a", &[]);
    live_jobs.apply(0, Change::Cancelled(open.job));
    live_jobs.apply(0, Change::Accepted(open.job, head(1_000, 1)));
    assert!(live_jobs.is_cancelled(open.job));
    assert_eq!(live_jobs.next_claim(0, "scribe"), None);
    live_jobs.pause(0, open);
    assert_eq!(live_jobs.next_abandoned(999), None);
    assert_eq!(live_jobs.next_abandoned(1_000), Some(open));
    live_jobs.apply(0, claimed(open));
    live_jobs.apply(0, Change::Done(open.job, open.chunk, Done::default()));
    live_jobs.apply(0, Change::Unclaimed(open.job, open.chunk));
    assert_eq!(live_jobs.next_abandoned(9_000), None);
    assert_eq!(live_jobs.finished().collect::<Vec<_>>(), [open.job]);
    live_jobs.apply(0, Change::Removed(open.job));
    assert_eq!(live_jobs.finished().count(), 0);
}
