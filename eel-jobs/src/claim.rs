//! Claims chunks while there are credits for their items, and runs the claimed chunks.

use std::{sync::Arc, time::Duration};

use eel_batch::{
    OpenChunk,
    store::{ClaimOutcome, ClaimedWork, Holder},
};
use eel_store::{KeyValue, LeaseId};
use eel_types::Name;
use tokio::task::JoinSet;

use crate::{
    Host, JobNode,
    node::unix_ms,
    work::{self, ActiveChunk},
};

/// The interval at which the node looks for a chunk to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which deadlines and urgency are re-evaluated.
const REFRESH_INTERVAL_MS: u64 = 1_000;
/// The delay between deletions of a claim with an unknown outcome.
const DELETE_DELAY: Duration = Duration::from_secs(2);
/// The number of successful deletions of a claim with an unknown outcome, since its write may still take effect later.
const REQUIRED_DELETES: u32 = 5;

/// Claims and runs chunks until the node shuts down and its last chunk has ended.
pub(crate) async fn run<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>) {
    let mut chunks = JoinSet::new();
    let mut ticks = tokio::time::interval(CLAIM_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut refreshed_ms = None;
    while !node.draining.is_cancelled() {
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.draining.cancelled() => break,
        }
        while chunks.try_join_next().is_some() {}
        let now_ms = node.now_ms();
        if refreshed_ms.is_none_or(|at_ms| at_ms + REFRESH_INTERVAL_MS <= now_ms) {
            refreshed_ms = Some(now_ms);
            refresh(node);
        }
        claim_abandoned(node, &mut chunks).await;
        let services = node.live_jobs().services();
        for service in services {
            claim_for_service(node, &service, &mut chunks).await;
        }
    }
    while chunks.join_next().await.is_some() {}
}

/// Re-evaluates deadlines and urgency, and updates the gauges.
fn refresh<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>) {
    let mut live_jobs = node.live_jobs();
    live_jobs.refresh(unix_ms());
    let metrics = &node.metrics;
    metrics.live_jobs.set(gauge(live_jobs.job_count()));
    metrics.late_jobs.set(gauge(live_jobs.late_jobs()));
    metrics.chunks_held.set(gauge(node.active().len()));
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Claims a chunk of a cancelled or overdue job. Its items only get error results, which need no credits.
async fn claim_abandoned<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    chunks: &mut JoinSet<()>,
) {
    if node.active().len() >= node.options.parallel_chunks {
        return;
    }
    let open = node.live_jobs().next_abandoned(node.now_ms());
    if let Some(open) = open {
        claim(node, open, chunks).await;
    }
}

/// Claims a chunk of `service` if there are more credits than ready items in the chunks already held.
async fn claim_for_service<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    service: &Name,
    chunks: &mut JoinSet<()>,
) {
    let (held, ready) = {
        let active = node.active();
        let own = active.values().filter(|chunk| chunk.service == *service);
        (active.len(), own.map(|chunk| chunk.ready()).sum::<usize>())
    };
    let credits = node.host.credits(service) as usize;
    if held >= node.options.parallel_chunks || credits <= ready {
        return;
    }
    let open = node.live_jobs().next_claim(node.now_ms(), service);
    if let Some(open) = open {
        claim(node, open, chunks).await;
    }
}

async fn claim<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    open: OpenChunk,
    chunks: &mut JoinSet<()>,
) {
    let Some(lease) = node
        .lease
        .borrow()
        .filter(|held| node.now_ms() < held.hold_until_ms)
    else {
        return;
    };
    let Some(head) = node.live_jobs().head(open.job).cloned() else {
        return;
    };
    let holder = Holder {
        name: node.options.vm.clone(),
        lease: lease.id,
        token: rand::random(),
    };
    match node.jobs.claim(open, &head, &holder).await {
        Ok(ClaimOutcome::Won(work)) => {
            node.metrics.chunks_claimed.inc();
            log::debug!(target: "jobs", "Claimed chunk {} of job {}.", open.chunk, open.job);
            spawn(node, *work, head, lease.id, chunks);
        }
        Ok(ClaimOutcome::Taken) => node.live_jobs().pause(node.now_ms(), open),
        Ok(ClaimOutcome::Unknown) => {
            node.live_jobs().pause(node.now_ms(), open);
            tokio::spawn(delete_own_claim(node.clone(), open, holder));
        }
        Err(error) => {
            node.live_jobs().pause(node.now_ms(), open);
            log::warn!(target: "jobs", "Cannot claim a chunk of job {}: {error}.", open.job);
        }
    }
}

fn spawn<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    work: ClaimedWork,
    head: eel_batch::Head,
    lease: LeaseId,
    chunks: &mut JoinSet<()>,
) {
    let open = work.claim_token.chunk();
    let active = Arc::new(ActiveChunk::new(head.service.clone(), work.items.len()));
    node.active().insert(open, active.clone());
    let guard = ActiveGuard {
        node: node.clone(),
        open,
    };
    chunks.spawn(async move {
        let lost_claim = work::run(&guard.node, work, &head, lease, &active).await;
        let node = guard.node.clone();
        drop(guard);
        if let Some(claim_token) = lost_claim {
            work::abandon(&node, &claim_token, lease).await;
        }
    });
}

/// Keeps a chunk in the map of active chunks until dropped.
struct ActiveGuard<S: KeyValue, H: Host> {
    node: Arc<JobNode<S, H>>,
    open: OpenChunk,
}

impl<S: KeyValue, H: Host> Drop for ActiveGuard<S, H> {
    fn drop(&mut self) {
        self.node.active().remove(&self.open);
    }
}

/// Deletes a claim that may have taken effect until [`REQUIRED_DELETES`] deletions have succeeded or its lease is no
/// longer held.
async fn delete_own_claim<S: KeyValue, H: Host>(
    node: Arc<JobNode<S, H>>,
    open: OpenChunk,
    holder: Holder,
) {
    let mut deleted = 0;
    while deleted < REQUIRED_DELETES && node.is_current(holder.lease) {
        if node.jobs.delete_own_claim(open, &holder).await.is_ok() {
            deleted += 1;
        }
        tokio::time::sleep(DELETE_DELAY).await;
    }
}
