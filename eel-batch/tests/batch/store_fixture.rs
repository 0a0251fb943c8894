//! A job store on the stand-in key-value service, and a driver that runs claimed chunks.

use std::sync::atomic::{AtomicU64, Ordering};

use eel_batch::{
    Action, ClaimedChunk, DrainReason, Event, Head, ItemIndex, JobLimits, JobPlan, JobTerms, Keys,
    OpenChunk, Policy, Response, Runner,
    store::{ClaimOutcome, ClaimedWork, FencedWrite, Holder, JobStore},
};
use eel_standin::kv::KvServer;
use eel_store::{EtcdJson, EtcdOptions, KeyValue as _, LeaseId};

pub type Store = JobStore<EtcdJson>;

pub const RETENTION_MS: u64 = 7_200_000;
pub const DEADLINE_MS: u64 = 3_600_000;

static TOKENS: AtomicU64 = AtomicU64::new(1);

pub fn token() -> u64 {
    TOKENS.fetch_add(1, Ordering::Relaxed)
}

/// Returns the job store of one entry node.
pub fn open(server: &KvServer) -> Store {
    let options = EtcdOptions {
        call_timeout_ms: 500,
        ..EtcdOptions::new(server.url())
    };
    JobStore::new(EtcdJson::new(&options).unwrap(), Keys::new("/eel/batch"))
}

pub fn plan(key: &str, items: usize, repeatable: bool) -> JobPlan {
    plan_lines(key, &lines(items, "x"), repeatable)
}

pub fn lines(items: usize, text: &str) -> String {
    let line = |item| {
        format!(
            r#"{{"custom_id":"{item}","method":"POST","url":"/v1/completions","body":{{"prompt":"{text} {item}"}}}}"#
        )
    };
    (0..items).map(line).collect::<Vec<_>>().join("\n")
}

pub fn plan_lines(key: &str, lines: &str, repeatable: bool) -> JobPlan {
    let terms = JobTerms {
        caller: "piedmont".into(),
        idempotency_key: key.into(),
        service: "underwrite-lm".into(),
        repeatable,
        deadline_unix_ms: DEADLINE_MS,
        retention_ms: RETENTION_MS,
    };
    JobPlan::parse(&terms, lines.as_bytes(), JobLimits::default()).unwrap()
}

pub async fn lease(store: &Store) -> LeaseId {
    store.store().grant_lease(60_000).await.unwrap().id
}

pub async fn claim(store: &Store, open: OpenChunk, head: &Head, lease: LeaseId) -> ClaimOutcome {
    let holder = Holder {
        name: "entry-a".into(),
        lease,
        token: token(),
    };
    store.claim(open, head, &holder).await.unwrap()
}

pub async fn must_claim(
    store: &Store,
    open: OpenChunk,
    head: &Head,
    lease: LeaseId,
) -> Box<ClaimedWork> {
    match claim(store, open, head, lease).await {
        ClaimOutcome::Won(work) => work,
        other => panic!("the chunk was not claimed: {other:?}"),
    }
}

/// When the driver stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Until {
    /// Runs until the chunk is done.
    Done,
    /// Stops without releasing the claim after this many items were sent.
    Sent(usize),
    /// Cancels the runner after this many items were answered.
    CancelAt(usize),
}

/// Runs a claimed chunk and returns the items that were sent. Each response takes 1 ms of simulated time.
pub async fn drive(store: &Store, work: &ClaimedWork, until: Until) -> Vec<ItemIndex> {
    let claimed = ClaimedChunk {
        hold_until_ms: u64::MAX,
        deadline_ms: u64::MAX,
        ..work.claimed.clone()
    };
    let mut runner = Runner::new(0, claimed, Policy::default());
    let mut sent = Vec::new();
    let mut events = vec![Event::Tick];
    let mut now_ms = 0;
    while !runner.is_stopped() {
        let event = events.pop().unwrap_or(Event::CreditGranted { count: 1 });
        for action in runner.on_event(now_ms, event) {
            match action {
                Action::Send { item, .. } => {
                    sent.push(item);
                    now_ms += 1;
                    let response = Response::from_bytes(200, br#"{"text":"an answer"}"#);
                    match until {
                        Until::Sent(count) if sent.len() == count => return sent,
                        Until::CancelAt(count) if sent.len() == count => {
                            events.push(Event::Drain(DrainReason::Cancelled));
                        }
                        _ => {}
                    }
                    events.push(Event::Answered { item, response });
                }
                Action::MarkStarted { window, items } => {
                    let fenced = store.mark(&work.claim_token, window, &items).await.unwrap();
                    events.push(written(fenced, Event::Marked));
                }
                Action::Commit(part) => {
                    let fenced = store.commit(&work.claim_token, &part).await.unwrap();
                    events.push(written(fenced, Event::Committed));
                }
                Action::Release { history } => {
                    store.release(&work.claim_token, history).await.unwrap();
                }
                Action::AbortAll => {}
            }
        }
    }
    sent
}

fn written(fenced: FencedWrite, event: Event) -> Event {
    match fenced {
        FencedWrite::Written => event,
        FencedWrite::Refused => Event::ClaimLost,
        FencedWrite::Unknown => panic!("the outcome of the write is unknown"),
    }
}
