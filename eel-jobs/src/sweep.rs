//! Archives jobs that have ended and deletes jobs past their retention time.

use std::{collections::HashMap, sync::Arc, time::Duration};

use eel_batch::JobId;
use eel_store::KeyValue;

use crate::{Host, JobNode, node::unix_ms};

/// The interval between two rounds of archiving and sweeping.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);
/// The time for which a job stays live after its end, so that submissions of it with an unknown outcome
/// are resolved.
const ARCHIVE_DELAY_MS: u64 = 90_000;

/// Archives ended jobs in each round, and sweeps in those rounds for which this node is the sweeper. Never returns.
pub(crate) async fn run<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>) {
    let mut ended_ms: HashMap<JobId, u64> = HashMap::new();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now_ms = node.now_ms();
        let due = jobs_to_archive(node, &mut ended_ms, now_ms);
        for job in due {
            archive(node, job).await;
        }
        if !node.live_jobs().is_sweeper(unix_ms() / sweep_interval_ms()) {
            continue;
        }
        if let Err(error) = node.jobs.sweep(unix_ms()).await {
            log::warn!(target: "jobs", "Cannot sweep expired jobs: {error}.");
        }
    }
}

fn sweep_interval_ms() -> u64 {
    u64::try_from(SWEEP_INTERVAL.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the jobs that ended at least [`ARCHIVE_DELAY_MS`] ago. `ended_ms` holds the times at which this node first
/// saw each job as ended.
fn jobs_to_archive<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    ended_ms: &mut HashMap<JobId, u64>,
    now_ms: u64,
) -> Vec<JobId> {
    let finished: Vec<_> = node.live_jobs().finished().collect();
    ended_ms.retain(|job, _| finished.contains(job));
    for job in &finished {
        ended_ms.entry(*job).or_insert(now_ms);
    }
    let due = ended_ms.iter();
    let due = due.filter(|(_, ended_ms)| **ended_ms + ARCHIVE_DELAY_MS <= now_ms);
    due.map(|(job, _)| *job).collect()
}

/// Archives `job` if this node is its archiver.
async fn archive<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>, job: JobId) {
    let archive = {
        let live_jobs = node.live_jobs();
        let archive = live_jobs.to_archive(job);
        archive.filter(|_| live_jobs.is_archiver(job))
    };
    let Some(archive) = archive else {
        return;
    };
    if let Err(error) = node.jobs.archive(job, &archive).await {
        log::warn!(target: "jobs", "Cannot archive job {job} yet: {error}.");
    }
}
