//! Guards against jobs that are accepted twice, accepted in part, or refused with the wrong verdict. This happens when
//! the store is down, hangs or loses responses, when two nodes receive the same job, or when a node is killed during a
//! submission.

use eel_batch::{
    ChunkIndex, JobPlan, OpenChunk,
    store::{CancelOutcome, SubmitError, Submitted},
};
use eel_standin::kv::{Faults, KvServer};
use eel_verdict::Verdict;
use error_stack::Report;

use crate::store_fixture::{claim, lease, lines, open, plan, plan_lines, token};

#[tokio::test]
async fn fault_table() {
    let lost = |lost_responses| Faults {
        lost_responses,
        ..Faults::default()
    };
    let down = Faults {
        unavailable: true,
        ..Faults::default()
    };
    let hang = Faults {
        hang: true,
        ..Faults::default()
    };
    let slow = Faults {
        delay_ms: 100,
        response_delay_ms: 100,
        ..Faults::default()
    };
    // Fault, accepted, verdict of the refusal.
    let cases = [
        ("none", Faults::default(), Ok(())),
        ("slow", slow, Ok(())),
        ("first answer lost", lost(1), Ok(())),
        ("two answers lost", lost(2), Ok(())),
        ("three answers lost", lost(3), Ok(())),
        ("down", down, Err(Verdict::NotRun)),
        ("hang", hang, Err(Verdict::NotRun)),
    ];
    for (name, faults, expected) in cases {
        let server = KvServer::start().await.unwrap();
        let store = open(&server);
        let plan = plan("k", 3, true);
        server.set_faults(faults);
        let result = store.submit(&plan, 1, token()).await;
        server.set_faults(Faults::default());
        let stored = store.get(plan.job).await.unwrap();
        let accepted = result.as_ref().map(drop).map_err(|report| {
            let refusal = report.current_context().refusal();
            assert!(refusal.retry_after_ms.is_some(), "{name}");
            refusal.verdict
        });
        assert_eq!(accepted, expected, "{name}: {result:?}");
        assert_eq!(stored.is_some(), accepted.is_ok(), "{name}");
        // A resend finds the accepted job, or is accepted itself.
        let resend = store.submit(&plan, 9, token()).await.unwrap();
        let existing = matches!(resend, Submitted::Existing(_));
        assert_eq!(existing, accepted.is_ok(), "{name}");
    }
}

/// Submits `plan` and loses the next `lost_responses` responses once the write of the head is in progress.
async fn submit_losing(
    server: &KvServer,
    plan: &JobPlan,
    lost_responses: u32,
) -> Result<Submitted, Report<SubmitError>> {
    server.set_faults(Faults {
        delay_ms: 100,
        ..Faults::default()
    });
    let submission = {
        let (store, plan) = (open(server), plan.clone());
        tokio::spawn(async move { store.submit(&plan, 1, token()).await })
    };
    for _ in ["the chunk", "the head"] {
        let seen = server.counts().bytes_in;
        while server.counts().bytes_in == seen {
            tokio::task::yield_now().await;
        }
    }
    server.set_faults(Faults {
        lost_responses,
        ..Faults::default()
    });
    let result = submission.await.unwrap();
    server.set_faults(Faults::default());
    result
}

#[tokio::test]
async fn answers_about_the_head_lost() {
    for (lost_responses, settled) in [(1, true), (2, true), (3, true), (u32::MAX, false)] {
        let server = KvServer::start().await.unwrap();
        let store = open(&server);
        let plan = plan("k", 3, true);
        match submit_losing(&server, &plan, lost_responses).await {
            Ok(submitted) => assert!(settled && matches!(submitted, Submitted::Accepted(_))),
            Err(report) => {
                let error = *report.current_context();
                assert_eq!((error, settled), (SubmitError::Unknown, false));
                assert_eq!(error.refusal().verdict, Verdict::MayHaveRun);
            }
        }
        // A resend with the same key determines the outcome.
        let resend = store.submit(&plan, 2, token()).await.unwrap();
        assert!(matches!(resend, Submitted::Existing(_)), "{lost_responses}");
    }
}

#[tokio::test]
async fn two_resends_at_two_entries() {
    let server = KvServer::start().await.unwrap();
    let (left, right) = (open(&server), open(&server));
    for round in 0..20 {
        let plan = plan(&format!("k{round}"), 3, true);
        let (a, b) = tokio::join!(
            left.submit(&plan, 1, token()),
            right.submit(&plan, 2, token())
        );
        let outcomes = [a.unwrap(), b.unwrap()];
        let is_new = |outcome: &&Submitted| matches!(outcome, Submitted::Accepted(_));
        assert_eq!(outcomes.iter().filter(is_new).count(), 1);
        let other = plan_lines(&format!("k{round}"), &lines(3, "y"), true);
        let report = left.submit(&other, 3, token()).await.unwrap_err();
        assert_eq!(*report.current_context(), SubmitError::Conflict);
        assert_eq!(report.current_context().refusal().reason.http_status(), 409);
        let report = left.find_resend(&other).await.unwrap_err();
        assert_eq!(*report.current_context(), SubmitError::Conflict);
    }
}

#[tokio::test]
async fn entry_killed_before_the_head() {
    let server = KvServer::start().await.unwrap();
    let store = open(&server);
    let plan = plan("k", 3, true);
    server.set_faults(Faults {
        response_delay_ms: 250,
        ..Faults::default()
    });
    let killed = {
        let (store, plan) = (open(&server), plan.clone());
        tokio::spawn(async move { store.submit(&plan, 1, token()).await.is_ok() })
    };
    while server.counts().writes == 0 {
        tokio::task::yield_now().await;
    }
    killed.abort();
    assert!(killed.await.unwrap_err().is_cancelled());
    server.set_faults(Faults::default());
    // The job was not accepted: it cannot be read, claimed or cancelled.
    assert!(store.get(plan.job).await.unwrap().is_none());
    assert!(store.snapshot().await.unwrap().changes.is_empty());
    assert_eq!(
        store.cancel(plan.job).await.unwrap(),
        CancelOutcome::Unknown
    );
    let chunk = OpenChunk {
        job: plan.job,
        chunk: ChunkIndex(0),
    };
    let lease = lease(&store).await;
    let outcome = claim(&store, chunk, &plan.head, lease).await;
    assert!(matches!(outcome, eel_batch::store::ClaimOutcome::Taken));
    // The sweep removes its chunks, and a resend after that is a new submission.
    let due_ms = plan.head.remove_unix_ms() + 3_600_000;
    assert_eq!(store.sweep(due_ms).await.unwrap(), 1);
    assert_eq!(store.sweep(due_ms).await.unwrap(), 0);
    let resend = store.submit(&plan, 1, token()).await.unwrap();
    assert!(matches!(resend, Submitted::Accepted(_)));
}
