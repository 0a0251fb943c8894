//! Starts, queues or rejects online requests.
//!
//! In a burst, more online requests arrive than all slots can run. A request that can start in time for its latency
//! goal waits here, where the order can still change, and not in a target's queue. A request that cannot is rejected on
//! arrival, with a time to return.

use std::collections::HashMap;

use eel_types::Name;

use crate::{
    Arrival, AttemptOutcome, Capacity, Decision, Dequeued, Rejection, TargetKey, TargetQuery,
    TargetSelector, TicketKey, WorkKind,
    queue::{Queue, QueuedRequest},
    rejection::{MIN_RUN_TIME_MS, expected_wait_ms, is_limited, retry_after_ms},
    report::{PeerReport, REPORT_TTL_MS, WaitingCount, stable_hash},
};

/// Divisor of the newest sample's weight in the moving average of run times.
const RUN_TIME_EWMA_DIVISOR: u64 = 16;
/// Run time assumed until the first one is measured.
const INITIAL_RUN_TIME_MS: u64 = 300;
/// The time from sending a request to a target until its first output, in ms: reading the prompt and one decoding step. The
/// latest start that meets a goal is this long before it.
pub const FIRST_OUTPUT_MS: u64 = 40;

#[derive(Default)]
struct ServiceState {
    queue: Queue,
    /// Whether a tenant's request went before others since the last dispatch.
    is_reordered: bool,
    run_time_ms: Option<u64>,
}

/// The state of all targets, and the queue of each service.
pub struct Dispatcher {
    selector: TargetSelector,
    data_centre: Name,
    services: HashMap<Name, ServiceState>,
    peers_waiting: HashMap<u64, (u64, Vec<WaitingCount>)>,
}

impl Dispatcher {
    /// Creates an empty dispatcher for a node in `data_centre`.
    #[must_use]
    pub fn new(data_centre: Name) -> Self {
        Self {
            selector: TargetSelector::default(),
            data_centre,
            services: HashMap::new(),
            peers_waiting: HashMap::new(),
        }
    }

    /// Returns the targets with their load.
    #[must_use]
    pub fn selector(&self) -> &TargetSelector {
        &self.selector
    }

    /// Returns the targets with their load for updates. Call [`Self::dispatch_waiting`] after each update.
    pub fn selector_mut(&mut self) -> &mut TargetSelector {
        &mut self.selector
    }

    /// Decides on a request that has just arrived, or that another target did not run.
    pub fn arrive(&mut self, now_ms: u64, arrival: Arrival<'_>) -> Decision {
        let service = arrival.service.clone();
        let waiting = QueuedRequest {
            tenant: arrival.tenant,
            tenant_priority: arrival.tenant_priority,
            priority: arrival.priority,
            start_by_ms: arrival.start_by_ms,
            give_up_ms: arrival.give_up_ms,
            accepts_late: arrival.accepts_late,
            excluded: arrival.excluded,
            version: arrival.version,
            tie_breaker: arrival.tie_breaker,
        };
        let state = self.services.entry(service.clone()).or_default();
        let ahead = state.queue.ahead_of(now_ms, &waiting);
        if ahead == 0
            && let Some(target) = self.start_now(now_ms, &service, &waiting)
        {
            if let Some(state) = self.services.get_mut(&service) {
                state.queue.on_start(&waiting);
            }
            return Decision::Start(target);
        }
        let version = waiting.version.as_ref();
        let capacity = self.selector.capacity_at(now_ms, &service, version);
        let rejection = self.rejection(now_ms, &service, &capacity, ahead, &waiting);
        let starts_at_ms = now_ms.saturating_add(rejection.expected_wait_ms);
        let is_late = starts_at_ms > waiting.reject_after_ms();
        if rejection.is_version_gone || (is_late && !self.may_start_soon(&service, &rejection)) {
            return Decision::Reject(rejection);
        }
        let state = self.services.entry(service).or_default();
        // Others that this request goes before may no longer start in time.
        state.is_reordered |= ahead < state.queue.len() && waiting.tenant.is_some();
        Decision::Wait(state.queue.push(waiting))
    }

    /// Reserves a slot for a batch item, at a target of `version` if one is given; `None` if no slot may be used or an
    /// online request waits for the service.
    pub fn start_batch(
        &mut self,
        now_ms: u64,
        service: &Name,
        version: Option<&Name>,
        tie_breaker: u64,
    ) -> Option<TargetKey> {
        if self.is_online_waiting(now_ms, service) {
            return None;
        }
        let query = TargetQuery {
            work: WorkKind::Batch,
            data_centre: &self.data_centre,
            excluded: &[],
            version,
            only_limited: !self.selector.has_batch_room(now_ms, service),
            left_ms: None,
            tie_breaker,
        };
        self.selector.drop_old_reports(now_ms);
        let target = self.selector.choose(now_ms, service, &query)?;
        self.selector.start(now_ms, target, WorkKind::Batch);
        Some(target)
    }

    /// Starts the queued requests that find a slot. Rejects those whose start is no longer of use, and those whose service
    /// has no usable target after the time until which they wait.
    ///
    /// Call it after every change of targets or load, and as time passes.
    pub fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Dequeued> {
        let mut dequeued = Vec::new();
        let names: Vec<Name> = self
            .services
            .iter()
            .filter(|(_, it)| it.queue.len() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        for service in names {
            self.dispatch_service(now_ms, &service, &mut dequeued);
        }
        dequeued
    }

    /// Removes a queued request whose caller left.
    pub fn cancel(&mut self, service: &str, ticket: TicketKey) {
        if let Some(state) = self.services.get_mut(service) {
            state.queue.remove(ticket);
        }
    }

    /// Records the end of an attempt that started `run_time_ms` ago.
    pub fn end(
        &mut self,
        now_ms: u64,
        service: &str,
        key: TargetKey,
        work: WorkKind,
        outcome: AttemptOutcome,
        run_time_ms: u64,
    ) {
        self.selector.end(now_ms, key, work, outcome);
        let is_sample = work == WorkKind::Online && outcome == AttemptOutcome::Answered;
        if is_sample && let Some(state) = self.services.get_mut(service) {
            let run_time_ms = run_time_ms.max(MIN_RUN_TIME_MS);
            let average_ms = state.run_time_ms.unwrap_or(run_time_ms);
            state.run_time_ms = Some(
                (average_ms * (RUN_TIME_EWMA_DIVISOR - 1) + run_time_ms) / RUN_TIME_EWMA_DIVISOR,
            );
        }
    }

    /// Applies a peer's report, unless a newer one was applied before.
    pub fn on_report(&mut self, now_ms: u64, report: &PeerReport) {
        if self.selector.on_report(now_ms, report) {
            self.peers_waiting
                .retain(|_, (at_ms, _)| now_ms < *at_ms + REPORT_TTL_MS);
            self.peers_waiting
                .insert(report.sender, (now_ms, report.waiting.clone()));
        }
    }

    /// Returns the number of requests queued at this node, by service. Late ones do not count where targets limit the rate:
    /// most start last, and for as long as they wait, peers would reject requests that can still start in time.
    #[must_use]
    pub fn own_waiting(&self, now_ms: u64) -> Vec<WaitingCount> {
        let queued = self
            .services
            .iter()
            .filter(|(_, state)| state.queue.len() > 0);
        let counts = queued.map(|(name, state)| {
            let capacity = self.selector.capacity(now_ms, name);
            (name, counted(now_ms, &capacity, &state.queue))
        });
        counts
            .filter(|(_, waiting)| *waiting > 0)
            .map(|(name, waiting)| WaitingCount {
                service: stable_hash(name),
                waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
            })
            .collect()
    }

    /// Returns whether more than half of the slots of any service are in use, or requests wait at this node.
    #[must_use]
    pub fn is_busy(&self, now_ms: u64) -> bool {
        let mut services = self.services.values();
        services.any(|state| state.queue.len() > 0) || self.selector.is_busy(now_ms)
    }

    /// Returns whether online requests of a service wait at this node or at a peer.
    #[must_use]
    pub fn is_online_waiting(&self, now_ms: u64, service: &str) -> bool {
        let own = self
            .services
            .get(service)
            .is_some_and(|state| state.queue.len() > 0);
        own || self.waiting_at_peers(now_ms, service) > 0
    }

    /// Returns the moving average of the run times of a service's online requests, or a default before the first one.
    #[must_use]
    pub fn run_time_ms(&self, service: &str) -> u64 {
        let measured = self
            .services
            .get(service)
            .and_then(|state| state.run_time_ms);
        measured.unwrap_or(INITIAL_RUN_TIME_MS)
    }

    fn dispatch_service(&mut self, now_ms: u64, service: &Name, dequeued: &mut Vec<Dequeued>) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let order = state.queue.in_order(now_ms);
        let is_reordered = std::mem::take(&mut state.is_reordered);
        let capacity = self.selector.capacity(now_ms, service);
        // The requests that stay in the queue.
        let mut kept = 0;
        for (ahead, ticket) in order.into_iter().enumerate() {
            let Some(waiting) = self
                .services
                .get(service)
                .and_then(|it| it.queue.get(ticket))
                .cloned()
            else {
                continue;
            };
            let is_over = now_ms >= waiting.give_up_ms
                || self.is_version_gone(service, &waiting)
                || self.is_unservable(now_ms, service, &capacity, ahead, &waiting);
            let target = if is_over {
                None
            } else {
                self.start_now(now_ms, service, &waiting)
            };
            let is_over = is_over
                || (is_reordered
                    && target.is_none()
                    && self.is_displaced(now_ms, service, &capacity, kept, &waiting));
            if target.is_none() && !is_over {
                kept += 1;
                continue;
            }
            if target.is_some()
                && let Some(state) = self.services.get_mut(service)
            {
                state.queue.start(ticket);
            }
            let outcome =
                target.ok_or_else(|| self.rejection(now_ms, service, &capacity, ahead, &waiting));
            dequeued.push(Dequeued {
                service: service.clone(),
                ticket,
                outcome,
            });
            self.cancel(service, ticket);
        }
    }

    /// Returns whether a queued request cannot start in time any more, now that it is behind `ahead` others.
    fn is_displaced(
        &self,
        now_ms: u64,
        service: &Name,
        capacity: &Capacity,
        ahead: usize,
        waiting: &QueuedRequest,
    ) -> bool {
        let rejection = self.rejection(now_ms, service, capacity, ahead, waiting);
        let starts_at_ms = now_ms.saturating_add(rejection.expected_wait_ms);
        let is_late = now_ms > waiting.reject_after_ms();
        !waiting.accepts_late
            && !is_late
            && starts_at_ms > waiting.reject_after_ms()
            && !self.may_start_soon(service, &rejection)
    }

    fn start_now(
        &mut self,
        now_ms: u64,
        service: &Name,
        waiting: &QueuedRequest,
    ) -> Option<TargetKey> {
        let query = TargetQuery {
            work: WorkKind::Online,
            data_centre: &self.data_centre,
            excluded: &waiting.excluded,
            version: waiting.version.as_ref(),
            only_limited: false,
            left_ms: Some(waiting.start_by_ms.saturating_sub(now_ms) + FIRST_OUTPUT_MS),
            tie_breaker: waiting.tie_breaker,
        };
        let target = self.selector.choose(now_ms, service, &query)?;
        self.selector.start(now_ms, target, WorkKind::Online);
        Some(target)
    }

    /// Returns whether no target is left that can continue the stream of a request.
    fn is_version_gone(&self, service: &str, waiting: &QueuedRequest) -> bool {
        let lists = |version| {
            self.selector
                .lists_version(service, version, &waiting.excluded)
        };
        waiting.version.as_ref().is_some_and(|it| !lists(it))
    }

    /// Returns whether a request that may be rejected waits for a service without any usable target, or with targets that
    /// take so few requests that none of them takes this one in time.
    fn is_unservable(
        &self,
        now_ms: u64,
        service: &Name,
        capacity: &Capacity,
        ahead: usize,
        waiting: &QueuedRequest,
    ) -> bool {
        match (capacity.slots, capacity.limited_targets) {
            (0, 0) => now_ms > waiting.reject_after_ms(),
            (0, _) => {
                let rejection = self.rejection(now_ms, service, capacity, ahead, waiting);
                let starts_at_ms = now_ms.saturating_add(rejection.expected_wait_ms);
                !waiting.accepts_late && starts_at_ms > waiting.give_up_ms
            }
            _ => false,
        }
    }

    /// Builds a rejection with the expected wait.
    fn rejection(
        &self,
        now_ms: u64,
        service: &Name,
        capacity: &Capacity,
        ahead: usize,
        waiting: &QueuedRequest,
    ) -> Rejection {
        let run_time_ms = self.run_time_ms(service);
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let ahead =
            ahead.saturating_add(self.ahead_at_peers(now_ms, service, capacity, (waiting, ahead)));
        let expected_wait_ms = expected_wait_ms(now_ms, capacity, run_time_ms, ahead);
        Rejection {
            retry_after_ms: retry_after_ms(now_ms, capacity, expected_wait_ms, waiting),
            expected_wait_ms,
            ahead,
            slots: capacity.slots,
            limited_targets: capacity.limited_targets,
            is_version_gone: self.is_version_gone(service, waiting),
        }
    }

    /// Returns whether a request starts after one run at the most, and how long runs take is not known yet.
    fn may_start_soon(&self, service: &str, rejection: &Rejection) -> bool {
        let state = self.services.get(service);
        let is_measured = state.is_some_and(|it| it.run_time_ms.is_some());
        !is_measured && rejection.ahead < u64::from(rejection.slots)
    }

    /// Returns how many requests at peers start before one behind `ahead` requests of this node.
    ///
    /// Peers do not say whose requests wait, nor how urgent they are. With tenants, or where targets limit the rate, the
    /// queues of peers are taken to be mixed as that of this node is, so that the request of a tenant with little load, or
    /// an urgent one, is not rejected for the whole backlog of others. With tenants, the request itself counts in the mix:
    /// behind the only request of this node, it would otherwise be behind all of theirs.
    fn ahead_at_peers(
        &self,
        now_ms: u64,
        service: &str,
        capacity: &Capacity,
        request: (&QueuedRequest, u64),
    ) -> u64 {
        let (request, ahead) = request;
        let waiting = self.waiting_at_peers(now_ms, service);
        let queue = self.services.get(service).map(|it| &it.queue);
        let is_fair = request.tenant.is_some() || queue.is_some_and(Queue::has_tenants);
        let Some(queue) = queue.filter(|_| is_fair || is_limited(capacity)) else {
            return waiting;
        };
        let own = counted(now_ms, capacity, queue);
        let own = u64::try_from(own).unwrap_or(u64::MAX).max(1);
        let mixed = own + u64::from(is_fair);
        waiting.saturating_mul(ahead.min(own)).div_ceil(mixed)
    }

    fn waiting_at_peers(&self, now_ms: u64, service: &str) -> u64 {
        let hash = stable_hash(service);
        let live = self
            .peers_waiting
            .values()
            .filter(|(at_ms, _)| now_ms < at_ms + REPORT_TTL_MS);
        let counts = live
            .flat_map(|(_, counts)| counts)
            .filter(|count| count.service == hash);
        counts.map(|count| u64::from(count.waiting)).sum()
    }
}

/// Returns how many queued requests are reported to peers.
fn counted(now_ms: u64, capacity: &Capacity, queue: &Queue) -> usize {
    if is_limited(capacity) {
        queue.in_time(now_ms)
    } else {
        queue.len()
    }
}
