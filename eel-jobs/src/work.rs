//! Runs one claimed chunk: carries out the actions of its [`Runner`].

use std::{
    collections::HashMap,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use eel_batch::{
    Action, ClaimedChunk, DrainReason, Event, Head, Item, ItemIndex, OpenChunk, Part, Response,
    Runner, WindowIndex,
    store::{ClaimToken, ClaimedWork, FencedWrite, StoreResult},
};
use eel_store::{KeyValue, LeaseId};
use eel_types::{Attempt, Name};
use eel_verdict::{Reason, Refusal, Verdict};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use tokio::{
    sync::watch,
    task::{Id, JoinSet},
    time::{Instant, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;

use crate::{Host, ItemRequest, JobNode, lease::HeldLease, node::unix_ms};

/// The interval at which a chunk checks credits, cancellations and deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The time that aborted items have to return a verdict.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before a write with an unknown outcome is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The longest response body that is stored.
const MAX_RESPONSE_BYTES: usize = 512 << 10;

/// A chunk held by this node, as seen by the claim loop.
#[derive(Debug)]
pub(crate) struct ActiveChunk {
    pub(crate) service: Name,
    /// The number of items that could be sent now.
    ready: AtomicUsize,
}

impl ActiveChunk {
    pub(crate) fn new(service: Name, ready: usize) -> Self {
        Self {
            service,
            ready: AtomicUsize::new(ready),
        }
    }

    /// Returns the number of items that could be sent now, given credits.
    pub(crate) fn ready(&self) -> usize {
        self.ready.load(Ordering::Relaxed)
    }
}

type SendResult = Result<Response, Refusal>;
type PendingWrite = Pin<Box<dyn Future<Output = Event> + Send>>;

/// A claimed chunk with its runner, open sends and pending writes.
struct Chunk<S, H> {
    node: Arc<JobNode<S, H>>,
    claim_token: ClaimToken,
    head: Head,
    items: Vec<Item>,
    runner: Runner,
    lease: LeaseId,
    deadline_ms: u64,
    sends: JoinSet<SendResult>,
    sent_items: HashMap<Id, ItemIndex>,
    writes: FuturesUnordered<PendingWrite>,
    abort: CancellationToken,
    aborted_at: Option<Instant>,
}

/// Runs the chunk of `work`, claimed under `lease`, until it is done, released or its claim is lost. Returns the token of
/// a lost claim, which the store may still hold; no item of the chunk is in flight any more.
pub(crate) async fn run<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    work: ClaimedWork,
    head: &Head,
    lease: LeaseId,
    active: &ActiveChunk,
) -> Option<ClaimToken> {
    let mut renewals = node.lease.subscribe();
    // The lease may have been renewed or lost while the chunk was claimed.
    let current = renewals.borrow_and_update().filter(|held| held.id == lease);
    let now_ms = node.now_ms();
    let deadline_ms = now_ms + head.deadline_unix_ms.saturating_sub(unix_ms());
    let claimed = ClaimedChunk {
        hold_until_ms: current.map_or(now_ms, |held| held.hold_until_ms),
        deadline_ms,
        ..work.claimed
    };
    let mut chunk = Chunk {
        node: node.clone(),
        claim_token: work.claim_token,
        head: head.clone(),
        items: work.items,
        runner: Runner::new(now_ms, claimed, node.options.policy),
        lease,
        deadline_ms,
        sends: JoinSet::new(),
        sent_items: HashMap::new(),
        writes: FuturesUnordered::new(),
        abort: CancellationToken::new(),
        aborted_at: None,
    };
    chunk.drive(active, renewals).await;
    chunk.abort.cancel();
    let ended = async { while chunk.sends.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(ABORT_TIMEOUT, ended).await;
    chunk.sends.shutdown().await;
    chunk.runner.is_lost().then_some(chunk.claim_token)
}

/// Deletes a lost claim; repeats it until the store has responded or `lease` is not held any more. A renewal that was sent before the
/// lease could no longer be relied on may have kept it, and with it the claim.
pub(crate) async fn abandon<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    claim_token: &ClaimToken,
    lease: LeaseId,
) {
    while let Err(error) = node.jobs.abandon(claim_token).await {
        log::warn!(target: "jobs", "Cannot delete a lost claim: {error}.");
        if !node.is_current(lease) {
            return;
        }
        tokio::time::sleep(WRITE_RETRY_DELAY).await;
    }
}

impl<S: KeyValue, H: Host> Chunk<S, H> {
    async fn drive(&mut self, active: &ActiveChunk, mut lease: watch::Receiver<Option<HeldLease>>) {
        let draining = self.node.draining.clone();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_draining = false;
        while !self.runner.is_stopped() {
            let event = tokio::select! {
                Some(joined) = self.sends.join_next_with_id() => self.on_sent(joined),
                Some(event) = self.writes.next() => event,
                Ok(()) = lease.changed() => self.lease_event(&mut lease),
                () = draining.cancelled(), if !is_draining => {
                    is_draining = true;
                    Event::Drain(DrainReason::Leaving)
                }
                _ = ticks.tick() => self.tick(),
            };
            self.process_event(event).await;
            self.grant_credits().await;
            let ready = self.runner.ready(self.node.now_ms());
            active.ready.store(ready, Ordering::Relaxed);
        }
    }

    async fn process_event(&mut self, event: Event) {
        for action in self.runner.on_event(self.node.now_ms(), event) {
            match action {
                Action::Send { item, attempt } => self.send(item, attempt),
                Action::MarkStarted { window, items } => self.mark_started(window, items),
                Action::Commit(part) => self.commit(part),
                Action::Release { history } => {
                    // A claim that cannot be released ends with the lease.
                    let _ = self.node.jobs.release(&self.claim_token, history).await;
                }
                Action::AbortAll => {
                    if self.runner.is_stopped() {
                        self.node.metrics.chunks_lost.inc();
                    }
                    self.abort.cancel();
                    self.aborted_at = Some(Instant::now());
                }
            }
        }
    }

    fn tick(&mut self) -> Event {
        if self
            .aborted_at
            .is_some_and(|at| at.elapsed() > ABORT_TIMEOUT)
        {
            self.sends.abort_all();
        }
        if self
            .node
            .live_jobs()
            .is_cancelled(self.claim_token.chunk().job)
        {
            return Event::Drain(DrainReason::Cancelled);
        }
        Event::Tick
    }

    async fn grant_credits(&mut self) {
        let ready = self.runner.ready(self.node.now_ms());
        // Cancellations are checked right before the grant, so that no item starts on stale data.
        if ready == 0 || !self.node.are_cancels_fresh() {
            return;
        }
        if self
            .node
            .live_jobs()
            .is_cancelled(self.claim_token.chunk().job)
        {
            return;
        }
        let count = self.node.host.credits(&self.head.service);
        if count > 0 {
            self.process_event(Event::CreditGranted { count }).await;
        }
    }

    fn lease_event(&self, lease: &mut watch::Receiver<Option<HeldLease>>) -> Event {
        match *lease.borrow_and_update() {
            Some(held) if held.id == self.lease => Event::LeaseRenewed {
                hold_until_ms: held.hold_until_ms,
            },
            _ => Event::ClaimLost,
        }
    }

    fn send(&mut self, item: ItemIndex, attempt: Attempt) {
        let request = self.request(item, attempt);
        let host = self.node.host.clone();
        self.node.metrics.items_sent.inc();
        let handle = self
            .sends
            .spawn(async move { host.send(request).await.and_then(check_size) });
        self.sent_items.insert(handle.id(), item);
    }

    fn request(&self, item: ItemIndex, attempt: Attempt) -> ItemRequest {
        let OpenChunk { job, chunk } = self.claim_token.chunk();
        let content = &self.items[item.0 as usize];
        let body = content.body.as_ref();
        ItemRequest {
            caller: self.head.caller.clone(),
            service: self.head.service.clone(),
            repeatable: self.head.repeatable,
            idempotency_key: format!("{job}-{chunk}-{item}").into(),
            attempt,
            method: content.method,
            url: content.url.clone(),
            body: body.map_or_else(Bytes::new, |body| {
                Bytes::copy_from_slice(body.get().as_bytes())
            }),
            deadline_ms: self.deadline_ms,
            cancel: self.abort.clone(),
        }
    }

    /// Converts the end of a send into an event. An item whose task was aborted or panicked may have run.
    fn on_sent(&mut self, joined: Result<(Id, SendResult), tokio::task::JoinError>) -> Event {
        let (id, sent) = match joined {
            Ok((id, sent)) => (id, sent),
            Err(error) => (error.id(), Err(Refusal::may_have_run(Reason::Cancelled))),
        };
        let Some(item) = self.sent_items.remove(&id) else {
            return Event::Tick;
        };
        match sent {
            Ok(response) => Event::Answered { item, response },
            Err(refusal) => Event::Refused { item, refusal },
        }
    }

    fn mark_started(&mut self, window: WindowIndex, items: Vec<ItemIndex>) {
        let node = self.node.clone();
        let claim_token = self.claim_token.clone();
        self.writes.push(Box::pin(async move {
            loop {
                let written = node.jobs.mark(&claim_token, window, &items).await;
                if let Some(event) = write_event(&written, Event::Marked) {
                    return event;
                }
                tokio::time::sleep(WRITE_RETRY_DELAY).await;
            }
        }));
    }

    fn commit(&mut self, part: Part) {
        let node = self.node.clone();
        let claim_token = self.claim_token.clone();
        self.writes.push(Box::pin(async move {
            loop {
                let written = node.jobs.commit(&claim_token, &part).await;
                if let Some(event) = write_event(&written, Event::Committed) {
                    if matches!(event, Event::Committed) {
                        node.metrics.on_committed(&part);
                    }
                    return event;
                }
                tokio::time::sleep(WRITE_RETRY_DELAY).await;
            }
        }));
    }
}

/// Converts the outcome of a write under the claim into an event: `event` if it was written; `None` if it has to be
/// repeated.
fn write_event(written: &StoreResult<FencedWrite>, event: Event) -> Option<Event> {
    match written {
        Ok(FencedWrite::Written) => Some(event),
        Ok(FencedWrite::Refused) => Some(Event::ClaimLost),
        Ok(FencedWrite::Unknown) => None,
        Err(error) => {
            log::warn!(target: "jobs", "Cannot write under a claim: {error}.");
            None
        }
    }
}

/// Refuses a response whose body is longer than [`MAX_RESPONSE_BYTES`].
fn check_size(response: Response) -> SendResult {
    if response.body.get().len() <= MAX_RESPONSE_BYTES {
        return Ok(response);
    }
    Err(Refusal {
        verdict: Verdict::Ran,
        reason: Reason::TooLarge,
        retry_after_ms: None,
    })
}
