//! Claiming chunks while there are credits for them, and running what was claimed.

use std::{sync::Arc, time::Duration};

use eel_batch::{
    OpenChunk,
    store::{ClaimOutcome, Holder, Work},
};
use eel_store::KeyValue;
use eel_types::Name;
use tokio::task::JoinSet;

use crate::{
    Host, JobNode,
    lease::Held,
    node::unix_ms,
    work::{self, Active},
};

/// How often the node looks for a chunk to claim.
const INTERVAL: Duration = Duration::from_millis(50);
/// The pause before an unsettled claim is given back again.
const DISCLAIM_PAUSE: Duration = Duration::from_secs(2);
/// How often an unsettled claim is given back, as its write may still take effect late.
const DISCLAIMS: u32 = 5;

/// Claims and runs chunks until the node leaves and none is left.
pub(crate) async fn run<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>) {
    let mut chunks = JoinSet::new();
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !node.leaving.is_cancelled() {
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.leaving.cancelled() => break,
        }
        while chunks.try_join_next().is_some() {}
        let services = node.board().services();
        for service in services {
            claim_for(node, &service, &mut chunks).await;
        }
    }
    while chunks.join_next().await.is_some() {}
}

/// Claims a chunk of `service` if one is open and can be worked on.
async fn claim_for<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    service: &Name,
    chunks: &mut JoinSet<()>,
) {
    let Some(lease) = *node.lease.borrow() else {
        return;
    };
    let Some(open) = wanted(node, service) else {
        return;
    };
    let Some(head) = node.board().head(open.job).cloned() else {
        return;
    };
    let holder = Holder {
        name: node.options.vm.clone(),
        lease: lease.id,
        token: rand::random(),
    };
    match node.jobs.claim(open, &head, &holder).await {
        Ok(ClaimOutcome::Won(work)) => {
            log::debug!(target: "jobs", "Claimed chunk {} of job {}.", open.chunk, open.job);
            spawn(node, *work, head, lease, chunks);
        }
        Ok(ClaimOutcome::Taken) => node.board().pause(node.now_ms(), open),
        Ok(ClaimOutcome::Unknown) => {
            node.board().pause(node.now_ms(), open);
            tokio::spawn(disclaim(node.clone(), open, holder));
        }
        Err(error) => {
            node.board().pause(node.now_ms(), open);
            log::warn!(target: "jobs", "A chunk of job {} can't be claimed: {error}.", open.job);
        }
    }
}

/// Returns the next chunk of `service`, unless the items at hand are enough for the credits.
fn wanted<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>, service: &Name) -> Option<OpenChunk> {
    let (held, ready) = {
        let active = node.active();
        let own = active.values().filter(|chunk| chunk.service == *service);
        (active.len(), own.map(|chunk| chunk.ready()).sum::<usize>())
    };
    if held >= node.options.parallel_chunks {
        return None;
    }
    let now_unix_ms = unix_ms();
    let board = node.board();
    let open = board.next_claim(node.now_ms(), now_unix_ms, service)?;
    let expired = board
        .head(open.job)
        .is_some_and(|head| head.deadline_unix_ms <= now_unix_ms);
    // A chunk of a job that is over only needs its items ended, which takes no credits.
    let over = expired || board.is_cancelled(open.job);
    let credits = node.host.credits(service) as usize;
    (over || credits > ready).then_some(open)
}

fn spawn<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    work: Work,
    head: eel_batch::Head,
    lease: Held,
    chunks: &mut JoinSet<()>,
) {
    let open = work.hold.chunk();
    let active = Arc::new(Active::new(head.service.clone(), work.items.len()));
    node.active().insert(open, active.clone());
    let registered = Registered {
        node: node.clone(),
        open,
    };
    chunks.spawn(async move {
        work::run(&registered.node, work, &head, lease, &active).await;
    });
}

/// Counts a chunk as worked on until dropped.
struct Registered<S: KeyValue, H: Host> {
    node: Arc<JobNode<S, H>>,
    open: OpenChunk,
}

impl<S: KeyValue, H: Host> Drop for Registered<S, H> {
    fn drop(&mut self) {
        self.node.active().remove(&self.open);
    }
}

/// Gives back a claim that may have taken effect, a few times or until the lease is gone.
async fn disclaim<S: KeyValue, H: Host>(node: Arc<JobNode<S, H>>, open: OpenChunk, holder: Holder) {
    let is_current = |held: &Option<Held>| held.is_some_and(|held| held.id == holder.lease);
    let mut answered = 0;
    while answered < DISCLAIMS && is_current(&node.lease.borrow()) {
        if node.jobs.disclaim(open, &holder).await.is_ok() {
            answered += 1;
        }
        tokio::time::sleep(DISCLAIM_PAUSE).await;
    }
}
