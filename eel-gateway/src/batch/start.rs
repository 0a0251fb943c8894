//! Starts the items that find a slot: those of the job that is due first, then in the order of their indices.
//!
//! An item that finds none holds up neither the items of other services nor those that may run at another version.

use std::{
    collections::HashSet,
    sync::{Arc, atomic::Ordering},
};

use eel_fleet::{Dispatcher, stable_hash};
use eel_ledger::{
    ErrorCause, Item, ItemQueues, ItemRef, Job, JobHead, Ledger, Progress, TextEnd, owner_of,
};
use eel_quarantine::Scope;
use eel_types::Name;
use tokio_util::sync::CancellationToken;

use super::{
    destinations::Destinations,
    ends,
    item::{Run, suspects_of},
    progress::SharedProgress,
    worker::{Running, State, Worker},
};
use crate::{quarantine::Trial, slots::SlotGuard, target::ResponseTrace};

/// The services at which an item of this step found no slot.
#[derive(Default)]
struct FullServices {
    /// Each service with the version that the item had to run at; `None` for an item that may run at any, so that the service
    /// has no slot at all.
    versions: HashSet<(Name, Option<Name>)>,
}

impl FullServices {
    fn insert(&mut self, service: &Name, version: Option<&Name>) {
        self.versions.insert((service.clone(), version.cloned()));
    }

    fn contains(&self, service: &Name, version: Option<&Name>) -> bool {
        !self.versions.is_empty() && self.versions.contains(&(service.clone(), version.cloned()))
    }
}

/// An item that starts, and the slot that it has got.
pub(super) struct Start<'a> {
    pub(super) item: &'a ItemRef,
    pub(super) head: &'a JobHead,
    pub(super) entry: &'a Item,
    pub(super) slot: SlotGuard,
    /// The trial that the run is, if the item is blocked.
    pub(super) trial: Option<Trial>,
}

impl Worker {
    /// Ends the items that can no longer run, and starts those that find a slot.
    pub(super) fn start_runs(self: &Arc<Self>) {
        let now_ms = self.context.clock.now_ms();
        let nodes: Vec<Name> = self.context.peers().batch_nodes(now_ms).cloned().collect();
        let own = &self.context.name;
        self.context.slots.set_batch_nodes(own, &nodes);
        let is_mine = |job: &str| owner_of(job, nodes.iter().chain([own])) == Some(own);
        let ledger = self.context.ledger();
        let mut state = self.lock();
        self.give_up(&mut state, now_ms, &ledger, is_mine);
        let jobs = ledger.open_by_due(is_mine);
        let mut destinations = std::mem::take(&mut state.destinations);
        let has_target = |service: &Name| {
            let lists = |it: &Dispatcher| it.selector().lists_service(service);
            self.context.slots.read(lists)
        };
        let table = self.context.table.load_full();
        destinations.update(now_ms, table, has_target, &jobs);
        self.end_unrouted(&mut state, now_ms, &ledger, &destinations, &jobs);
        self.start_trial(&mut state, &destinations, &jobs);
        let quarantine = self.context.quarantine(Scope::Parts);
        let may_run = |item: &Item| {
            quarantine.is_quiet() || !quarantine.blocks(suspects_of(item).of(Scope::Parts))
        };
        let mut full = FullServices::default();
        for &(id, job) in &jobs {
            if let Some(queues) = destinations.queues(id) {
                self.start_items(&mut state, queues, (id, job), &mut full, may_run);
            }
        }
        drop(quarantine);
        state.destinations = destinations;
    }

    fn give_up(
        &self,
        state: &mut State,
        now_ms: u64,
        ledger: &Ledger,
        is_mine: impl Fn(&str) -> bool,
    ) {
        let given_up = state.worklist.give_up(now_ms, ledger, is_mine);
        for item in &given_up {
            let job = ledger.job(&item.job);
            let entry = job.and_then(|it| it.items().get(item.item as usize));
            let id = entry.map_or("", |it| &it.id);
            ends::on_errored(&self.context, item, id, ErrorCause::GiveUpTime, 0);
        }
    }

    /// Ends the waiting items of `jobs` whose route has ended, unless there may be newer routes than those in force.
    fn end_unrouted(
        &self,
        state: &mut State,
        now_ms: u64,
        ledger: &Ledger,
        destinations: &Destinations,
        jobs: &[(&Name, &Job)],
    ) {
        let Some(known_until_ms) = ledger.complete_as_of_ms() else {
            return;
        };
        if self.context.has_unread_routes.load(Ordering::Relaxed) {
            return;
        }
        for &(id, job) in jobs {
            let (Some(queues), Some(head)) = (destinations.queues(id), job.head()) else {
                continue;
            };
            for index in queues.ended(known_until_ms) {
                let Some((item, entry)) = state.worklist.waiting(id, job, index) else {
                    continue;
                };
                state.worklist.abandon(&item);
                let left_ms = state.worklist.left_ms(now_ms, id, head);
                let cause = ErrorCause::RouteEnded;
                ends::on_errored(&self.context, &item, &entry.id, cause, left_ms);
            }
        }
    }

    /// Starts the items of one job that find a slot, and adds the services without one to `full`.
    fn start_items(
        self: &Arc<Self>,
        state: &mut State,
        queues: &ItemQueues,
        (id, job): (&Name, &Job),
        full: &mut FullServices,
        may_run: impl Fn(&Item) -> bool,
    ) {
        let Some(head) = job.head() else {
            return;
        };
        for (service, indices) in queues.iter() {
            if full.contains(service, None) {
                continue;
            }
            for index in indices {
                if state.runs.len() >= self.parallel_items {
                    return;
                }
                let Some((item, entry)) = state.worklist.waiting(id, job, index) else {
                    continue;
                };
                let item = &item;
                if !may_run(entry) || self.is_saved_at_full(state, item, service, full) {
                    continue;
                }
                let version = self.version_to_continue(state, item, service);
                if full.contains(service, version.as_ref()) {
                    continue;
                }
                let (slots, hash) = (&self.context.slots, stable_hash(&entry.id));
                let slot = slots.try_acquire_batch(service, version.as_ref(), hash);
                if let Some(slot) = slot {
                    let start = Start {
                        item,
                        head,
                        entry,
                        slot,
                        trial: None,
                    };
                    tokio::spawn(self.start(state, start));
                    continue;
                }
                full.insert(service, version.as_ref());
                if version.is_none() {
                    break;
                }
            }
        }
    }

    /// Returns whether all that other nodes have saved of an item's text is of versions without a slot. This is cheaper than
    /// [`Self::version_to_continue`], which assembles the text.
    fn is_saved_at_full(
        &self,
        state: &State,
        item: &ItemRef,
        service: &Name,
        full: &FullServices,
    ) -> bool {
        if full.versions.is_empty() || state.saved.contains(item) {
            return false;
        }
        let partials = self.context.partials();
        let mut versions = partials.versions_of(item).peekable();
        versions.peek().is_some() && versions.all(|it| it.is_some() && full.contains(service, it))
    }

    /// Marks an item as running; the returned future drives the run.
    pub(super) fn start(
        self: &Arc<Self>,
        state: &mut State,
        start: Start<'_>,
    ) -> impl Future<Output = ()> + Send + 'static + use<> {
        let Start {
            item,
            head,
            entry,
            slot,
            trial,
        } = start;
        let progress = self.initial_progress(state, item, slot.target.version.as_ref());
        self.context
            .text_bytes
            .fetch_add(progress.text.len(), Ordering::Relaxed);
        let progress = SharedProgress::new(progress);
        let cancel = CancellationToken::new();
        let now_ms = self.context.clock.now_ms();
        let left_ms = state.worklist.left_ms(now_ms, &item.job, head);
        let key = state.runs.insert(Running {
            target: slot.key,
            item: item.clone(),
            progress: progress.clone(),
            started_ms: now_ms,
            cancel: cancel.clone(),
            is_discarded: false,
            tried: trial.is_some().then(|| suspects_of(entry)),
        });
        let run = Run {
            context: self.context.clone(),
            head: head.clone(),
            item: entry.clone(),
            progress,
            left_ms,
            response: ResponseTrace::default(),
            last_event: None,
        };
        let driven = self.clone().drive(key, item.clone(), run, slot, cancel);
        async move {
            driven.await;
            drop(trial);
        }
    }

    /// Returns the version of the text that an item has so far; `None` if it has none, or if no target of the version is
    /// listed, so that the item is run again from its start.
    pub(super) fn version_to_continue(
        &self,
        state: &State,
        item: &ItemRef,
        service: &Name,
    ) -> Option<Name> {
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
        saved_text.map_or(own, |saved_text| Progress {
            end: TextEnd::Possible,
            ..saved_text.progress
        })
    }
}
