//! Spawns the supervised tasks of the process.

use std::{sync::Arc, time::Duration};

use eel_record::Snapshot;
use eel_store::{EtcdJson, HttpVmList};
use eel_supervise::{ChildError, Supervisor};
use error_stack::Report;
use tokio_util::sync::CancellationToken;

use crate::{
    membership,
    node::{Context, Jobs},
};

/// Spawns the task that follows the configuration in the store under `prefix`.
pub(crate) fn spawn_config(
    supervisor: &mut Supervisor,
    context: &Arc<Context>,
    store: EtcdJson,
    prefix: String,
    stop: &CancellationToken,
) {
    let context = context.clone();
    let stop = stop.clone();
    supervisor.spawn("configuration", move || {
        let context = context.clone();
        let store = store.clone();
        let prefix = prefix.clone();
        let stop = stop.clone();
        async move {
            tokio::select! {
                () = follow_config(&context, &store, &prefix) => Err(Report::new(ChildError)),
                () = stop.cancelled() => Ok(()),
            }
        }
    });
}

/// Puts each new configuration in force. An outage of the store leaves the last one in force.
async fn follow_config(context: &Context, store: &EtcdJson, prefix: &str) {
    let on_change = |previous: &Snapshot, next: &Snapshot| {
        context.routing.configure(previous, next);
        let revision = i64::try_from(next.revision.0).unwrap_or(i64::MAX);
        context.metrics.revision.set(revision);
    };
    let config = &context.config;
    tokio::select! {
        never = config.follow(prefix, store, &context.peers) => match never {},
        () = config.derive(on_change) => {}
    }
}

/// Spawns the task that maintains the links to targets; it reads the VM list every `poll`.
pub(crate) fn spawn_membership(
    supervisor: &mut Supervisor,
    context: &Arc<Context>,
    vms: HttpVmList,
    poll: Duration,
    stop: &CancellationToken,
) {
    let context = context.clone();
    let stop = stop.clone();
    supervisor.spawn("membership", move || {
        let context = context.clone();
        let vms = vms.clone();
        let stop = stop.clone();
        async move {
            membership::run_membership(&vms, poll, context, stop).await;
            Ok(())
        }
    });
}

/// Spawns batch job processing.
pub(crate) fn spawn_jobs(supervisor: &mut Supervisor, jobs: &Arc<Jobs>, stop: &CancellationToken) {
    let jobs = jobs.clone();
    let stop = stop.clone();
    supervisor.spawn("jobs", move || {
        let jobs = jobs.clone();
        let stop = stop.clone();
        async move {
            tokio::select! {
                () = jobs.run() => Ok(()),
                () = stop.cancelled() => Ok(()),
            }
        }
    });
}
