//! Assigns slots at targets to requests and batch items; shared by all tasks of the node.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use eel_fleet::{
    Arrival, AttemptOutcome, Decision, Dequeued, Dispatcher, LimitChange, LimitNotice, LimitPeer,
    NamedLimit, Observation, PeerReport, Placement, Rejection, TargetEntry, TargetKey,
    TargetSelector, TargetUsage, TicketKey, WarmUpChange, WorkKind, report_interval_ms,
};
use eel_types::{Clock, Name};
use tokio::sync::{Notify, oneshot};

use crate::metrics::Metrics;

/// The dispatcher and the requests that wait for a slot.
pub(crate) struct Slots {
    clock: Clock,
    metrics: Arc<Metrics>,
    inner: Mutex<Inner>,
    /// Notified after each change of this node's load.
    pub(crate) load_changed: Notify,
    /// Notified after each change of a target's limit or of what this node has sent under one.
    pub(crate) limits_changed: Notify,
}

struct Inner {
    dispatcher: Dispatcher,
    waiters: HashMap<(Name, TicketKey), oneshot::Sender<Result<SlotGuard, Rejection>>>,
}

/// The rejection of a request whose chosen target was removed before the request was sent.
const NO_TARGET: Rejection = Rejection {
    retry_after_ms: 0,
    expected_wait_ms: 0,
    ahead: 0,
    slots: 0,
    limited_targets: 0,
    is_version_gone: false,
};

/// A slot at a target, released on drop.
pub(crate) struct SlotGuard {
    slots: Arc<Slots>,
    pub(crate) key: TargetKey,
    pub(crate) target: TargetEntry,
    work: WorkKind,
    started_ms: u64,
    /// When the first event of the stream arrived.
    first_event: Option<Instant>,
    started: Instant,
    outcome: AttemptOutcome,
}

impl Slots {
    pub(crate) fn new(
        clock: Clock,
        data_centre: Name,
        placement: Placement,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        let mut dispatcher = Dispatcher::new(data_centre);
        dispatcher.selector_mut().set_placement(placement);
        Arc::new(Self {
            clock,
            metrics,
            inner: Mutex::new(Inner {
                dispatcher,
                waiters: HashMap::new(),
            }),
            load_changed: Notify::new(),
            limits_changed: Notify::new(),
        })
    }

    /// Acquires a slot for an online request, and waits in the queue if none is free.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        arrival: Arrival<'_>,
    ) -> Result<SlotGuard, Rejection> {
        let now_ms = self.clock.now_ms();
        let service = arrival.service.clone();
        let has_tenant = arrival.tenant.is_some();
        let (ticket, receiver, refused) = {
            let mut inner = self.lock();
            match inner.dispatcher.arrive(now_ms, arrival) {
                Decision::Start(key) => return self.guard(&inner, key, WorkKind::Online),
                Decision::Reject(rejection) => return Err(rejection),
                Decision::Wait(ticket) => {
                    let (send, receive) = oneshot::channel();
                    inner.waiters.insert((service.clone(), ticket), send);
                    // Rejects at once those that cannot start in time any more behind this request.
                    let refused = has_tenant.then(|| self.notify_waiters(&mut inner));
                    (ticket, receive, refused)
                }
            }
        };
        drop(refused);
        self.load_changed.notify_one();
        let waiter = QueueGuard {
            slots: self,
            service,
            ticket,
        };
        let decided = receiver.await;
        drop(waiter);
        let waited_ms = self.clock.now_ms().saturating_sub(now_ms);
        self.metrics.wait_seconds.0.observe(ms_to_s(waited_ms));
        decided.unwrap_or(Err(NO_TARGET))
    }

    /// Acquires a slot for a batch item, at a target of `version` if one is given, if one is idle and no online request waits for the service.
    pub(crate) fn try_acquire_batch(
        self: &Arc<Self>,
        service: &Name,
        version: Option<&Name>,
        tie_breaker: u64,
    ) -> Option<SlotGuard> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let key = inner
            .dispatcher
            .start_batch(now_ms, service, version, tie_breaker)?;
        self.guard(&inner, key, WorkKind::Batch).ok()
    }

    /// Applies `change` to the dispatcher, then dispatches or rejects the waiting requests that this affects.
    pub(crate) fn update<T>(self: &Arc<Self>, change: impl FnOnce(&mut Dispatcher) -> T) -> T {
        let mut inner = self.lock();
        let outcome = change(&mut inner.dispatcher);
        let refused = self.notify_waiters(&mut inner);
        drop(inner);
        drop(refused);
        outcome
    }

    /// Sets the nodes that run batch. This frees no slot for online requests, so none are dispatched.
    pub(crate) fn set_batch_nodes(&self, own: &Name, others: &[Name]) {
        let mut inner = self.lock();
        inner.dispatcher.selector_mut().set_batch_nodes(own, others);
    }

    /// Sets the nodes among which the limits of targets are shared.
    pub(crate) fn set_nodes(&self, own: &Name, peers: Vec<LimitPeer>) {
        let mut inner = self.lock();
        inner.dispatcher.selector_mut().set_nodes(own, peers);
    }

    /// Returns what to tell peers of the limits of targets: what is new, or if `is_full`, all that they may have missed.
    pub(crate) fn limit_news(&self, is_full: bool) -> Vec<TargetUsage> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        inner.dispatcher.selector_mut().limit_news(now_ms, is_full)
    }

    /// Applies a peer's notice of the limits of targets.
    pub(crate) fn on_limit_notice(&self, notice: &LimitNotice) {
        let now_ms = self.clock.now_ms();
        self.change_limits("a peer", |it| it.on_limit_notice(now_ms, notice));
    }

    /// Applies what `source` says of limits, and reports the changes.
    fn change_limits<C: IntoIterator<Item = LimitChange>>(
        &self,
        source: &'static str,
        apply: impl FnOnce(&mut TargetSelector) -> C,
    ) {
        let mut inner = self.lock();
        let selector = inner.dispatcher.selector_mut();
        let changes: Vec<LimitChange> = apply(selector).into_iter().collect();
        if changes.is_empty() {
            return;
        }
        let limited = i64::try_from(selector.limited_targets()).unwrap_or(i64::MAX);
        self.metrics.limited_targets.set(limited);
        for change in &changes {
            let key = selector.key_of(change.incarnation);
            let target = key.and_then(|key| selector.entry(key));
            let target_id = target.map_or("", |it| it.id.as_str());
            log_limit_change(target_id, change, source);
        }
        drop(inner);
        self.limits_changed.notify_one();
    }

    /// Reads the state of the dispatcher.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.lock().dispatcher)
    }

    /// Records that a target has sent nothing for a long time.
    pub(crate) fn on_silence(&self, key: TargetKey) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        inner.dispatcher.selector_mut().on_silence(now_ms, key);
    }

    /// Returns the shortest time until the next report to `receivers` peers.
    pub(crate) fn report_interval(&self, receivers: usize) -> Duration {
        let is_busy = self.lock().dispatcher.is_busy(self.clock.now_ms());
        Duration::from_millis(report_interval_ms(receivers, is_busy))
    }

    /// Returns this node's load for a report to its peers; the remaining fields are left at their defaults.
    pub(crate) fn report(&self) -> PeerReport {
        let now_ms = self.clock.now_ms();
        let inner = self.lock();
        PeerReport {
            targets: inner.dispatcher.selector().own_loads(),
            waiting: inner.dispatcher.own_waiting(now_ms),
            ..PeerReport::default()
        }
    }

    fn guard(
        self: &Arc<Self>,
        inner: &Inner,
        key: TargetKey,
        work: WorkKind,
    ) -> Result<SlotGuard, Rejection> {
        let target = inner.dispatcher.selector().entry(key).cloned();
        let target = target.ok_or(NO_TARGET)?;
        self.load_changed.notify_one();
        if inner.dispatcher.selector().is_limited(key) {
            self.metrics.limited_attempts.inc();
            self.limits_changed.notify_one();
        }
        Ok(SlotGuard {
            slots: self.clone(),
            key,
            target,
            work,
            started_ms: self.clock.now_ms(),
            first_event: None,
            started: Instant::now(),
            outcome: AttemptOutcome::Cancelled,
        })
    }

    /// Reports the targets that have begun or ended to warm up.
    fn log_warm_ups(&self, inner: &mut Inner) {
        let selector = inner.dispatcher.selector_mut();
        let changes = selector.take_warm_up_changes();
        if changes.is_empty() {
            return;
        }
        let warming = i64::try_from(selector.warming_targets()).unwrap_or(i64::MAX);
        self.metrics.warming_targets.set(warming);
        for WarmUpChange { key, step } in changes {
            let target_id = selector.entry(key).map_or("", |it| it.id.as_str());
            log::info!(
                target: "targets", target_id, step = step.as_str(), warming;
                "A target begins or ends to warm up."
            );
        }
    }

    /// Passes slots and rejections on to waiting requests. Returns the slots of requests whose callers have left; drop
    /// them after `inner` is unlocked, since that releases them.
    ///
    /// A slot is passed on as a guard, so that it is released even if the caller leaves before the request takes it.
    fn notify_waiters(self: &Arc<Self>, inner: &mut Inner) -> Vec<SlotGuard> {
        let now_ms = self.clock.now_ms();
        self.log_warm_ups(inner);
        let mut refused = Vec::new();
        for dequeued in inner.dispatcher.dispatch_waiting(now_ms) {
            let Dequeued {
                service,
                ticket,
                outcome,
            } = dequeued;
            let slot = outcome.and_then(|key| self.guard(inner, key, WorkKind::Online));
            let unsent = match inner.waiters.remove(&(service, ticket)) {
                Some(waiter) => waiter.send(slot).err(),
                None => Some(slot),
            };
            refused.extend(unsent.and_then(Result::ok));
        }
        refused
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from the queue on drop, such as when its caller disconnects.
struct QueueGuard<'a> {
    slots: &'a Slots,
    service: Name,
    ticket: TicketKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.slots.lock();
        inner.dispatcher.cancel(&self.service, self.ticket);
        inner.waiters.remove(&(self.service.clone(), self.ticket));
    }
}

impl SlotGuard {
    /// Sets the outcome of the attempt; unless it is set, the attempt counts as cancelled by this node.
    pub(crate) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    /// Records that the target has sent nothing for a long time.
    pub(crate) fn on_silence(&self) {
        self.slots.on_silence(self.key);
    }

    /// Returns whether the target is listed and not about to leave.
    pub(crate) fn target_stays(&self) -> bool {
        self.slots.read(|it| it.selector().stays(self.key))
    }

    /// Records that the target has said that it is leaving.
    pub(crate) fn on_leaving(&self) {
        let now_ms = self.slots.clock.now_ms();
        let is_new = self
            .slots
            .lock()
            .dispatcher
            .selector_mut()
            .on_leaving(now_ms, &self.target);
        if is_new {
            log::info!(target: "targets", target_id = self.target.id.as_str(); "A target has said that it is leaving.");
        }
    }

    /// Records what the target's response says of the rate of requests that it takes.
    pub(crate) fn on_limit(&self, limit: NamedLimit) {
        if limit == NamedLimit::Invalid {
            log::warn!(target: "limits", target_id = self.target.id.as_str(); "A target names a limit that is not one rate; it is ignored.");
            return;
        }
        let (now_ms, asked_ms) = (self.slots.clock.now_ms(), self.started_ms);
        self.slots.change_limits("a response", |it| {
            it.on_limit(now_ms, self.key, asked_ms, limit)
        });
    }

    /// Records that the first event of a stream has arrived; further calls have no effect.
    pub(crate) fn on_first_event(&mut self) {
        if self.first_event.is_none() {
            let now = Instant::now();
            self.first_event = Some(now);
            let us = whole_us(now.saturating_duration_since(self.started));
            self.observe(Observation::FirstEventUs(us));
        }
    }

    /// Records the end of a complete stream of `events`, the last of which had arrived at `now`.
    pub(crate) fn on_last_event(&self, now: Instant, events: u64) {
        let gaps = events.saturating_sub(1);
        if let Some(first) = self.first_event
            && let Some(us) = whole_us(now.saturating_duration_since(first)).checked_div(gaps)
        {
            self.observe(Observation::PaceUs(us));
        }
    }

    /// Records the end of a complete plain response.
    pub(crate) fn on_plain_end(&self) {
        let us = whole_us(self.started.elapsed());
        self.observe(Observation::RunTimeUs(us));
    }

    fn observe(&self, observation: Observation) {
        if self.work != WorkKind::Online {
            return;
        }
        let now_ms = self.slots.clock.now_ms();
        let mut inner = self.slots.lock();
        let selector = inner.dispatcher.selector_mut();
        if selector.observe(now_ms, self.key, observation) {
            let slowness_per_1000 = selector.speed(now_ms, self.key).slowness_per_1000;
            log::debug!(
                target: "targets", target_id = self.target.id.as_str(), observation:?, slowness_per_1000;
                "A target's speed was observed."
            );
        }
    }

    /// Records the head of a response from the target.
    pub(crate) fn on_response(&self) {
        let run_ms = self.slots.clock.now_ms().saturating_sub(self.started_ms);
        self.slots
            .metrics
            .first_byte_seconds
            .0
            .observe(ms_to_s(run_ms));
        self.slots
            .lock()
            .dispatcher
            .selector_mut()
            .on_response(self.key);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now_ms = self.slots.clock.now_ms();
        let run_time_ms = now_ms.saturating_sub(self.started_ms);
        let mut inner = self.slots.lock();
        let service = &self.target.service;
        inner.dispatcher.end(
            now_ms,
            service,
            self.key,
            self.work,
            self.outcome,
            run_time_ms,
        );
        self.slots.metrics.count_attempt(self.outcome);
        let refused = self.slots.notify_waiters(&mut inner);
        drop(inner);
        drop(refused);
        self.slots.load_changed.notify_one();
    }
}

fn log_limit_change(target_id: &str, change: &LimitChange, source: &'static str) {
    match change.limit {
        Some(limit) => {
            log::info!(
                target: "limits", target_id, per_1000_s = limit.per_1000_s(), sent = change.sent, source;
                "A target limits the rate of requests."
            );
        }
        None => {
            log::info!(
                target: "limits", target_id, sent = change.sent, source;
                "A target does not limit the rate of requests any more."
            );
        }
    }
}

fn whole_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn ms_to_s(ms: u64) -> f64 {
    const MS_PER_S: f64 = 1_000.0;
    f64::from(u32::try_from(ms).unwrap_or(u32::MAX)) / MS_PER_S
}
