//! The batch worker, which runs the items of the jobs that this node owns.
//!
//! [`start`](super::start) chooses the items that start.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use eel_fleet::TargetKey;
use eel_ledger::{ItemRef, RunOutcome, SavedItems, Worklist};
use slotmap::SlotMap;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::{
    commit, destinations::Destinations, ends, item::Run, progress::SharedProgress, retire, save,
};
use crate::{
    context::{Context, now_unix_ms},
    quarantine::{self, Suspects},
    slots::SlotGuard,
};

/// The maximum time between two steps of the worker, and the maximum wait for cancelled runs while it drains.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// How long results are collected before they are listed together.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(1);
/// How long before its due time the results of a job are listed without that delay, in ms: other nodes still have to
/// learn of them.
const DUE_SOON_MS: u64 = 3_000;
/// The interval at which the progress of items is saved, in ms: a third of the time of a usual run.
const SAVE_INTERVAL_MS: u64 = 1_500;
/// The interval of checks whether cancelled runs have ended.
const RUNS_POLL_INTERVAL: Duration = Duration::from_millis(10);

slotmap::new_key_type! {
    pub(super) struct RunKey;
}

/// Starts runs of items, yields their slots to online requests and lists their results.
pub(crate) struct Worker {
    pub(super) context: Arc<Context>,
    pub(super) parallel_items: usize,
    state: Mutex<State>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) worklist: Worklist,
    pub(super) destinations: Destinations,
    pub(super) runs: SlotMap<RunKey, Running>,
    pub(super) saved: SavedItems,
    /// The keys of saved texts that were dropped, which no node may continue.
    pub(super) dropped_keys: BTreeSet<String>,
    /// Whether this node is about to start the trial of a blocked item.
    pub(super) is_admitting_trial: bool,
}

/// A run in progress, and the token that cancels it.
pub(super) struct Running {
    pub(super) target: TargetKey,
    pub(super) item: ItemRef,
    pub(super) progress: SharedProgress,
    pub(super) started_ms: u64,
    pub(super) cancel: CancellationToken,
    /// Whether its text is dropped when it is cancelled.
    pub(super) is_discarded: bool,
    /// What the run tries, if it is the trial of a blocked item.
    pub(super) tried: Option<Suspects>,
}

impl Worker {
    pub(crate) fn new(context: Arc<Context>, parallel_items: usize) -> Arc<Self> {
        Arc::new(Self {
            context,
            parallel_items,
            state: Mutex::default(),
        })
    }

    /// Starts runs and yields their slots; does not return.
    pub(crate) async fn run(self: &Arc<Self>) {
        loop {
            self.step();
            // A step follows both a wake-up and a timeout.
            let _ = timeout(STEP_INTERVAL, self.context.batch_wake.notified()).await;
        }
    }

    /// Lists results, saves progress and reports empty nodes; does not return.
    pub(crate) async fn list_results(self: &Arc<Self>) {
        let mut listed = Instant::now();
        loop {
            commit::wait_for_round(&self.context).await;
            if self.context.draining.is_cancelled()
                || listed.elapsed() >= MAX_LISTING_DELAY
                || self.has_due()
            {
                listed = Instant::now();
                self.list_pending().await;
            }
            self.save_progress(SAVE_INTERVAL_MS).await;
            retire::report(&self.context, self.is_idle()).await;
        }
    }

    /// Cancels all runs, lists the available results and saves the progress of the other items.
    pub(crate) async fn drain(self: &Arc<Self>) {
        self.step();
        let all_ended = async {
            while !self.lock().runs.is_empty() {
                sleep(RUNS_POLL_INTERVAL).await;
            }
        };
        if timeout(STEP_INTERVAL, all_ended).await.is_err() {
            log::warn!(target: "jobs", "Cancelled runs have not ended in time; their progress is not saved.");
        }
        self.list_pending().await;
        self.save_progress(0).await;
    }

    /// Saves the progress of items if the last save was at least `interval_ms` ago.
    async fn save_progress(&self, interval_ms: u64) {
        let dropped = self.begin_removal();
        let pieces = {
            let mut state = self.lock();
            let State {
                worklist,
                runs,
                saved,
                ..
            } = &mut *state;
            let running = runs
                .values()
                .map(|run| (run.item.clone(), run.progress.lock().clone()));
            let interrupted = worklist
                .interrupted()
                .map(|(item, progress)| (item.clone(), progress.clone()));
            saved.pieces(
                self.context.clock.now_ms(),
                interval_ms,
                running.chain(interrupted),
            )
        };
        if let Some(key) = save::save(&self.context, &pieces, &dropped).await {
            let mut state = self.lock();
            state.dropped_keys.retain(|it| !dropped.contains(it));
            if state.saved.on_saved(&pieces) {
                state.dropped_keys.insert(key);
            }
        }
    }

    async fn list_pending(&self) {
        commit::list(&self.context, |ledger| {
            let mut state = self.lock();
            state.worklist.forget_listed(ledger);
            state.worklist.commit(ledger)
        })
        .await;
    }

    /// Returns whether an available result has to be listed now, because its job is due soon.
    fn has_due(&self) -> bool {
        let ledger = self.context.ledger();
        self.lock()
            .worklist
            .has_due(now_unix_ms() + DUE_SOON_MS, &ledger)
    }

    fn is_idle(&self) -> bool {
        let state = self.lock();
        state.runs.is_empty() && state.worklist.unlisted() == 0
    }

    fn step(self: &Arc<Self>) {
        self.observe_jobs();
        self.cancel_ended();
        self.bound_texts();
        self.yield_slots();
        if self.context.takes_batch() {
            self.start_runs();
        } else {
            self.cancel_all();
        }
    }

    /// Records when this node first saw each job.
    fn observe_jobs(&self) {
        let ledger = self.context.ledger();
        let now_ms = self.context.clock.now_ms();
        self.lock().worklist.observe(now_ms, &ledger);
    }

    /// Cancels the runs of jobs that are no longer open, because they were ended or all of their results are listed.
    fn cancel_ended(&self) {
        let ledger = self.context.ledger();
        let mut state = self.lock();
        state.worklist.forget_listed(&ledger);
        state.saved.forget_ended(&ledger);
        let is_open = |job: &str| ledger.job(job).is_some_and(eel_ledger::Job::is_open);
        for run in state.runs.values().filter(|run| !is_open(&run.item.job)) {
            run.cancel.cancel();
        }
    }

    /// Cancels the runs started last at targets where online requests need the slots, but for undecided trials.
    fn yield_slots(&self) {
        let now_ms = self.context.clock.now_ms();
        let state = self.lock();
        let mut by_target: HashMap<TargetKey, Vec<&Running>> = HashMap::new();
        let is_undecided = |run: &Running| {
            let tried = run.tried.as_ref();
            tried.is_some_and(|it| quarantine::blocks(&self.context, it))
        };
        let runs = state.runs.values().filter(|run| !run.cancel.is_cancelled());
        for run in runs.filter(|run| !is_undecided(run)) {
            by_target.entry(run.target).or_default().push(run);
        }
        for (target, mut runs) in by_target {
            let incarnation = self.context.incarnation;
            let read = |selector: &eel_fleet::TargetSelector| {
                selector.excess_batch(now_ms, target, incarnation)
            };
            let excess = self
                .context
                .slots
                .read(|dispatcher| read(dispatcher.selector()));
            runs.sort_by_key(|run| std::cmp::Reverse(run.started_ms));
            for run in runs.into_iter().take(excess as usize) {
                run.cancel.cancel();
            }
        }
    }

    fn cancel_all(&self) {
        let mut state = self.lock();
        state.destinations.clear();
        for run in state.runs.values() {
            run.cancel.cancel();
        }
    }

    pub(super) async fn drive(
        self: Arc<Self>,
        key: RunKey,
        item: ItemRef,
        mut run: Run,
        slot: SlotGuard,
        cancel: CancellationToken,
    ) {
        let target = slot.target.id.clone();
        let run_outcome = tokio::select! {
            run_outcome = run.run(slot) => run_outcome,
            () = cancel.cancelled() => run.interrupted(),
        };
        let is_discarded = self.lock().runs.get(key).is_some_and(|it| it.is_discarded);
        let run_outcome = match run_outcome {
            RunOutcome::Interrupted(progress) if is_discarded => RunOutcome::Discarded(progress),
            run_outcome => run_outcome,
        };
        ends::on_run_end(&run, &item, &target, &run_outcome, cancel.is_cancelled());
        let mut state = self.lock();
        state.runs.remove(key);
        if run.has_dropped_text(&run_outcome) {
            self.drop_saved(&mut state, &item);
        }
        let cause = state
            .worklist
            .finish(&item, run.head.max_attempts, run_outcome);
        let now_ms = self.context.clock.now_ms();
        let left_ms = state.worklist.left_ms(now_ms, &item.job, &run.head);
        drop(state);
        if let Some(cause) = cause {
            ends::on_errored(&self.context, &item, &run.item.id, cause, left_ms);
        }
        self.context.batch_wake.notify_one();
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
