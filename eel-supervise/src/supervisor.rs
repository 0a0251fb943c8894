//! A supervisor that restarts failed tasks.

use std::{
    future::Future,
    panic::AssertUnwindSafe,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use error_stack::Report;
use futures_util::FutureExt as _;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::{RestartDecision, RestartHistory, RestartPolicy};

/// The error of a child task; the supervisor restarts the child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a supervised task failed")]
pub struct ChildError;

/// The error of a supervisor that gave up on a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the task {child} failed too often")]
pub struct Error {
    /// The name of the child that exceeded its restart limit.
    pub child: &'static str,
}

/// A shared counter of all restarts under a supervisor.
#[derive(Clone, Debug, Default)]
pub struct RestartCounter(Arc<AtomicU64>);

impl RestartCounter {
    /// Returns the number of restarts so far.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Runs named child tasks until all of them end, one of them fails too often, or the token is cancelled.
pub struct Supervisor {
    children: JoinSet<Result<(), Error>>,
    stop: CancellationToken,
    policy: RestartPolicy,
    restarts: RestartCounter,
    started: Instant,
}

impl Supervisor {
    /// Creates a supervisor. Children watch `stop` on their own; once it is cancelled, none is restarted.
    #[must_use]
    pub fn new(stop: CancellationToken, policy: RestartPolicy) -> Self {
        Self {
            children: JoinSet::new(),
            stop,
            policy,
            restarts: RestartCounter::default(),
            started: Instant::now(),
        }
    }

    /// Returns a handle to the counter of restarts.
    #[must_use]
    pub fn restarts(&self) -> RestartCounter {
        self.restarts.clone()
    }

    /// Spawns a child task; `start` is called again for each restart.
    pub fn spawn<S, F>(&mut self, name: &'static str, start: S)
    where
        S: Fn() -> F + Send + Sync + 'static,
        F: Future<Output = Result<(), Report<ChildError>>> + Send + 'static,
    {
        let child = Child {
            name,
            stop: self.stop.clone(),
            restarts: RestartHistory::new(self.policy),
            counter: self.restarts.clone(),
            started: self.started,
        };
        self.children.spawn(child.run(start));
    }

    /// Waits until every child has ended.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a child failed too often; the other children are told to stop first.
    pub async fn join(mut self) -> Result<(), Report<Error>> {
        let mut outcome = Ok(());
        while let Some(joined) = self.children.join_next().await {
            if let Ok(Err(error)) = joined {
                self.stop.cancel();
                outcome = Err(Report::new(error));
            }
        }
        outcome
    }
}

struct Child {
    name: &'static str,
    stop: CancellationToken,
    restarts: RestartHistory,
    counter: RestartCounter,
    started: Instant,
}

impl Child {
    async fn run<S, F>(mut self, start: S) -> Result<(), Error>
    where
        S: Fn() -> F,
        F: Future<Output = Result<(), Report<ChildError>>>,
    {
        loop {
            let ended = AssertUnwindSafe(start()).catch_unwind().await;
            match ended {
                Ok(Ok(())) => return Ok(()),
                Ok(Err(error)) => {
                    log::error!(target: "supervisor", "The task {} failed: {error:?}", self.name);
                }
                Err(_) => log::error!(target: "supervisor", "The task {} panicked.", self.name),
            }
            self.pause_before_restart().await?;
            if self.stop.is_cancelled() {
                return Ok(());
            }
        }
    }

    async fn pause_before_restart(&mut self) -> Result<(), Error> {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        match self.restarts.on_failure(now_ms) {
            RestartDecision::GiveUp => Err(Error { child: self.name }),
            RestartDecision::Restart { pause_ms } => {
                self.counter.increment();
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
                    () = self.stop.cancelled() => {}
                }
                Ok(())
            }
        }
    }
}
