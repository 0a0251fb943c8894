//! The batch worker, which runs the items of the jobs that this node owns.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};

use eel_fleet::{TargetKey, stable_hash};
use eel_ledger::{
    ErrorCause, Item, ItemRef, Ledger, Progress, RunOutcome, SavedItems, Worklist, owner_of,
};
use eel_quarantine::Scope;
use eel_types::Name;
use slotmap::SlotMap;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::{
    commit, ends,
    item::{Run, SharedProgress, suspects_of},
    retire, save,
};
use crate::{
    context::{Context, now_unix_ms},
    quarantine::{self, Suspects, Trial},
    slots::SlotGuard,
    target::ResponseTrace,
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
    parallel_items: usize,
    state: Mutex<State>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) worklist: Worklist,
    pub(super) runs: SlotMap<RunKey, Running>,
    pub(super) saved: SavedItems,
    /// The keys of saved texts that were dropped, which no node may continue.
    pub(super) dropped_keys: BTreeSet<String>,
    /// Whether this node is about to start the trial of a blocked item.
    pub(super) is_admitting_trial: bool,
}

/// A run in progress, and the token that cancels it.
pub(super) struct Running {
    target: TargetKey,
    item: ItemRef,
    pub(super) progress: SharedProgress,
    started_ms: u64,
    pub(super) cancel: CancellationToken,
    /// Whether its text is dropped when it is cancelled.
    pub(super) is_discarded: bool,
    /// What the run tries, if it is the trial of a blocked item.
    tried: Option<Suspects>,
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
        for run in self.lock().runs.values() {
            run.cancel.cancel();
        }
    }

    fn start_runs(self: &Arc<Self>) {
        let now_ms = self.context.clock.now_ms();
        let nodes: Vec<Name> = self.context.peers().batch_nodes(now_ms).cloned().collect();
        let own = &self.context.name;
        self.context.slots.set_batch_nodes(own, &nodes);
        let is_mine = |job: &str| owner_of(job, nodes.iter().chain([own])) == Some(own);
        let ledger = self.context.ledger();
        let mut state = self.lock();
        let given_up = state.worklist.give_up(now_ms, &ledger, is_mine);
        for item in &given_up {
            let job = ledger.job(&item.job);
            let entry = job.and_then(|it| it.items().get(item.item as usize));
            let id = entry.map_or("", |it| &it.id);
            ends::on_errored(&self.context, item, id, ErrorCause::GiveUpTime, 0);
        }
        let quarantine = self.context.quarantine(Scope::Parts);
        let may_run = |item: &Item| {
            quarantine.is_quiet() || !quarantine.blocks(suspects_of(item).of(Scope::Parts))
        };
        // A job whose next item gets no slot does not block jobs of other services.
        for (id, job) in ledger.open_by_due(is_mine) {
            while state.runs.len() < self.parallel_items
                && let Some(item) = state.worklist.next(id, job, may_run)
                && let Some(started) = self.start(&mut state, &ledger, &item, None)
            {
                tokio::spawn(started);
            }
        }
        let has_blocked = !quarantine.is_empty();
        drop(quarantine);
        if has_blocked {
            self.start_trial(&mut state, ledger.open_by_due(is_mine));
        }
    }

    /// Prepares a run if a slot is idle; the returned future drives it.
    pub(super) fn start(
        self: &Arc<Self>,
        state: &mut State,
        ledger: &Ledger,
        item: &ItemRef,
        trial: Option<Trial>,
    ) -> Option<impl Future<Output = ()> + Send + 'static> {
        let job = ledger.job(&item.job)?;
        let (job_head, entry) = (
            job.head()?.clone(),
            job.items().get(item.item as usize)?.clone(),
        );
        let table = self.context.table.load();
        let route = table.as_ref()?.find(&job_head.host, &entry.path)?;
        let service = route.service_for(&entry.id)?;
        let version = self.version_to_continue(state, item, service);
        let slot = self.context.slots.try_acquire_batch(
            service,
            version.as_ref(),
            stable_hash(&entry.id),
        )?;
        let progress = self.initial_progress(state, item, slot.target.version.as_ref());
        self.context
            .text_bytes
            .fetch_add(progress.text.len(), Ordering::Relaxed);
        let progress = SharedProgress::new(progress);
        let cancel = CancellationToken::new();
        let now_ms = self.context.clock.now_ms();
        let left_ms = state.worklist.left_ms(now_ms, &item.job, &job_head);
        let key = state.runs.insert(Running {
            target: slot.key,
            item: item.clone(),
            progress: progress.clone(),
            started_ms: now_ms,
            cancel: cancel.clone(),
            is_discarded: false,
            tried: trial.is_some().then(|| suspects_of(&entry)),
        });
        let run = Run {
            context: self.context.clone(),
            head: job_head,
            item: entry,
            progress,
            left_ms,
            response: ResponseTrace::default(),
        };
        let driven = self.clone().drive(key, item.clone(), run, slot, cancel);
        Some(async move {
            driven.await;
            drop(trial);
        })
    }

    /// Returns the version of the text that an item has so far; `None` if it has none, or if no target of the version is
    /// listed, so that the item is run again from its start.
    fn version_to_continue(&self, state: &State, item: &ItemRef, service: &Name) -> Option<Name> {
        let lists = |version: &Name| {
            let slots = &self.context.slots;
            slots.read(|it| it.selector().lists_version(service, version, &[]))
        };
        let own = state.worklist.progress(item);
        if own.is_some_and(|it| it.last_event.is_some()) || state.saved.contains(item) {
            let version = own?.version.as_ref();
            return version.filter(|it| lists(it)).cloned();
        }
        let may_continue = |it: &Progress| it.version.as_ref().is_some_and(lists);
        let saved_text = self.context.partials().longest_text(item, may_continue)?;
        saved_text.progress.version
    }

    /// Returns the progress of an item that a target of `version` is going to run: from this node's own runs, or else as
    /// saved by another node. A text that the target may not continue is dropped.
    fn initial_progress(
        &self,
        state: &mut State,
        item: &ItemRef,
        version: Option<&Name>,
    ) -> Progress {
        let own = state.worklist.start(item);
        if !own.continues_at(version) {
            log::info!(
                target: "jobs", job = item.job.as_str(), item = item.item,
                from_version = own.version.as_deref().unwrap_or_default(), version = version.map_or("", Name::as_str);
                "An item is run from its start at another version of its target."
            );
            state.saved.begin(item, None, rand::random());
            return own.from_start();
        }
        if own.last_event.is_some() || state.saved.contains(item) {
            return own;
        }
        let may_continue = |it: &Progress| it.continues_at(version);
        let saved_text = self.context.partials().longest_text(item, may_continue);
        state.saved.begin(item, saved_text.as_ref(), rand::random());
        saved_text.map_or(own, |saved_text| saved_text.progress)
    }

    async fn drive(
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
        if matches!(run_outcome, RunOutcome::Discarded(_)) {
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
