//! Keeps the state of live jobs up to date: reads a snapshot, follows the watch from there and polls for cancellations.

use std::{sync::Arc, time::Duration};

use eel_batch::store::StateEvent;
use eel_store::KeyValue;
use eel_types::Revision;
use futures_util::StreamExt as _;

use crate::{Host, JobNode};

/// The delay before the state is read again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The interval at which cancellations are polled, independent of the number of jobs.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the state of all live jobs, and reads it again when the watch is lost. Never returns.
pub(crate) async fn run<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>) {
    loop {
        let Ok(snapshot) = node.jobs.snapshot().await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        {
            let mut live_jobs = node.live_jobs();
            live_jobs.clear();
            for change in snapshot.changes {
                live_jobs.apply(node.now_ms(), change);
            }
        }
        let mut events = node.jobs.watch(snapshot.revision);
        while let Some(event) = events.next().await {
            match node.jobs.decode_event(&event) {
                StateEvent::Change(change) => node.live_jobs().apply(node.now_ms(), change),
                StateEvent::Unrelated => {}
                StateEvent::Lost => break,
            }
        }
    }
}

/// Polls for cancellations, so that a silent watch does not delay them. Never returns.
pub(crate) async fn poll_cancels<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>) {
    let mut from = Revision(0);
    loop {
        let started_at_ms = node.now_ms();
        if let Ok((cancelled, revision)) = node.jobs.cancels(from).await {
            from = revision;
            let mut live_jobs = node.live_jobs();
            for job in cancelled {
                live_jobs.apply(node.now_ms(), eel_batch::Change::Cancelled(job));
            }
            node.set_cancels_read_ms(started_at_ms);
        } else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        tokio::time::sleep(CANCEL_POLL_INTERVAL).await;
    }
}
