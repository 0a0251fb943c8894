//! Starts, holds or rejects online requests.
//!
//! The load that this answers: bursts in which more online requests arrive than all slots can run. A request that can
//! start in time for its goal waits here, where the order can still be chosen, and not in a target's queue. One that
//! cannot is rejected when it arrives, with the time after which the backlog is expected to be gone.

use std::collections::HashMap;

use eel_types::Name;

use crate::{
    AttemptOutcome, TargetKey, TargetQuery, TargetSelector, TicketKey, WorkKind,
    queue::{Queue, QueuedRequest},
    report::{PeerReport, REPORT_TTL_MS, WaitingCount, stable_hash},
};

/// The share of a measurement in the moving average of run times, as a divisor.
const RUN_TIME_EWMA_DIVISOR: u64 = 16;
/// The run time that is assumed before any was measured, in ms.
const INITIAL_RUN_TIME_MS: u64 = 300;
/// What a run counts at the least, in ms: the unit of the clock, so that a backlog of shorter runs is not empty.
const MIN_RUN_TIME_MS: u64 = 1;
/// The shortest and longest times to come back that are given, in ms. Callers honour a third of what they have left.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 100..=1_500;

/// A request that wants to start.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// The service.
    pub service: &'a Name,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The last moment at which a start is in time for the goal.
    pub start_by_ms: u64,
    /// The last moment at which a start is of use.
    pub give_up_ms: u64,
    /// Targets that it has met already.
    pub excluded: Vec<TargetKey>,
    /// Spreads equal choices.
    pub tie_breaker: u64,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this target; it counts as in flight there.
    Start(TargetKey),
    /// Hold it until [`Dispatcher::dispatch_waiting`] names the ticket.
    Wait(TicketKey),
    /// Reject it as not run.
    Reject(Rejection),
}

/// Why a request is rejected, and when it should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// When to come back.
    pub retry_after_ms: u64,
    /// How long it would wait for a slot.
    pub expected_wait_ms: u64,
    /// The requests that would start before it, here and at other nodes.
    pub ahead: u64,
    /// The slots of the targets that can be used.
    pub slots: u32,
}

/// A request whose wait is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dequeued {
    /// The service; tickets are unique within it.
    pub service: Name,
    /// The request.
    pub ticket: TicketKey,
    /// Where to send it, or why it is rejected.
    pub outcome: Result<TargetKey, Rejection>,
}

#[derive(Default)]
struct ServiceState {
    queue: Queue,
    run_time_ms: Option<u64>,
}

/// The selector, and the queue of each service.
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

    /// Returns the selector.
    #[must_use]
    pub fn selector(&self) -> &TargetSelector {
        &self.selector
    }

    /// Returns the selector, to change what is known of targets.
    pub fn selector_mut(&mut self) -> &mut TargetSelector {
        &mut self.selector
    }

    /// Decides on a request that has just arrived or that another target did not run.
    pub fn arrive(&mut self, now_ms: u64, arrival: Arrival<'_>) -> Decision {
        let service = arrival.service.clone();
        let waiting = QueuedRequest {
            priority: arrival.priority,
            start_by_ms: arrival.start_by_ms,
            give_up_ms: arrival.give_up_ms,
            excluded: arrival.excluded,
            tie_breaker: arrival.tie_breaker,
        };
        let state = self.services.entry(service.clone()).or_default();
        let ahead = state
            .queue
            .ahead_of(now_ms, waiting.priority, waiting.start_by_ms);
        if ahead == 0
            && let Some(target) = self.start_now(now_ms, &service, &waiting)
        {
            return Decision::Start(target);
        }
        let rejection = self.rejection(now_ms, &service, ahead);
        let starts_at_ms = now_ms.saturating_add(rejection.expected_wait_ms);
        if starts_at_ms > waiting.start_by_ms.min(waiting.give_up_ms) {
            return Decision::Reject(rejection);
        }
        let state = self.services.entry(service).or_default();
        Decision::Wait(state.queue.push(waiting))
    }

    /// Takes a slot for a batch item if one is idle and no online request waits for the service.
    pub fn start_batch(
        &mut self,
        now_ms: u64,
        service: &Name,
        tie_breaker: u64,
    ) -> Option<TargetKey> {
        let has_room = self.selector.has_batch_room(now_ms, service);
        if !has_room || self.is_online_waiting(now_ms, service) {
            return None;
        }
        let query = TargetQuery {
            work: WorkKind::Batch,
            data_centre: &self.data_centre,
            excluded: &[],
            tie_breaker,
        };
        self.selector.drop_old_reports(now_ms);
        let target = self.selector.choose(now_ms, service, &query)?;
        self.selector.start(now_ms, target, WorkKind::Batch);
        Some(target)
    }

    /// Starts or rejects requests that have waited; called after every change.
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

    /// Gives up a request that waits, because its caller left.
    pub fn cancel(&mut self, service: &str, ticket: TicketKey) {
        if let Some(state) = self.services.get_mut(service) {
            state.queue.remove(ticket);
        }
    }

    /// Ends an attempt that started `run_time_ms` ago.
    pub fn end(
        &mut self,
        now_ms: u64,
        service: &str,
        key: TargetKey,
        work: WorkKind,
        end: AttemptOutcome,
        run_time_ms: u64,
    ) {
        self.selector.end(now_ms, key, work, end);
        let is_sample = work == WorkKind::Online && end == AttemptOutcome::Answered;
        if is_sample && let Some(state) = self.services.get_mut(service) {
            let run_time_ms = run_time_ms.max(MIN_RUN_TIME_MS);
            let average_ms = state.run_time_ms.unwrap_or(run_time_ms);
            state.run_time_ms = Some(
                (average_ms * (RUN_TIME_EWMA_DIVISOR - 1) + run_time_ms) / RUN_TIME_EWMA_DIVISOR,
            );
        }
    }

    /// Takes in a peer's report.
    pub fn on_report(&mut self, now_ms: u64, report: &PeerReport) {
        if self.selector.on_report(now_ms, report) {
            self.peers_waiting
                .retain(|_, (at_ms, _)| now_ms < *at_ms + REPORT_TTL_MS);
            self.peers_waiting
                .insert(report.sender, (now_ms, report.waiting.clone()));
        }
    }

    /// Returns how many of this node's requests wait, by service.
    #[must_use]
    pub fn own_waiting(&self) -> Vec<WaitingCount> {
        let waiting = self
            .services
            .iter()
            .filter(|(_, state)| state.queue.len() > 0);
        waiting
            .map(|(name, state)| WaitingCount {
                service: stable_hash(name),
                waiting: u16::try_from(state.queue.len()).unwrap_or(u16::MAX),
            })
            .collect()
    }

    /// Returns whether online requests of a service wait at any node.
    #[must_use]
    pub fn is_online_waiting(&self, now_ms: u64, service: &str) -> bool {
        let own = self
            .services
            .get(service)
            .is_some_and(|state| state.queue.len() > 0);
        own || self.waiting_at_peers(now_ms, service) > 0
    }

    /// Returns the average run time of a service's online requests.
    #[must_use]
    pub fn run_time_ms(&self, service: &str) -> u64 {
        let measured = self
            .services
            .get(service)
            .and_then(|state| state.run_time_ms);
        measured.unwrap_or(INITIAL_RUN_TIME_MS)
    }

    fn dispatch_service(&mut self, now_ms: u64, service: &Name, dequeued: &mut Vec<Dequeued>) {
        let Some(state) = self.services.get(service) else {
            return;
        };
        for (ahead, ticket) in state.queue.in_order(now_ms).into_iter().enumerate() {
            let Some(waiting) = self
                .services
                .get(service)
                .and_then(|it| it.queue.get(ticket))
                .cloned()
            else {
                continue;
            };
            let is_over =
                now_ms >= waiting.give_up_ms || self.is_unservable(now_ms, service, &waiting);
            let target = if is_over {
                None
            } else {
                self.start_now(now_ms, service, &waiting)
            };
            if target.is_none() && !is_over {
                continue;
            }
            let outcome = target.ok_or_else(|| self.rejection(now_ms, service, ahead));
            dequeued.push(Dequeued {
                service: service.clone(),
                ticket,
                outcome,
            });
            self.cancel(service, ticket);
        }
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
            tie_breaker: waiting.tie_breaker,
        };
        let target = self.selector.choose(now_ms, service, &query)?;
        self.selector.start(now_ms, target, WorkKind::Online);
        Some(target)
    }

    /// Returns whether a late request waits for a service none of whose targets can be used.
    fn is_unservable(&self, now_ms: u64, service: &Name, waiting: &QueuedRequest) -> bool {
        now_ms > waiting.start_by_ms && self.selector.slots(now_ms, service) == 0
    }

    /// Expects slots to become free evenly: each `run_time / slots`.
    fn rejection(&self, now_ms: u64, service: &Name, ahead: usize) -> Rejection {
        let slots = self.selector.slots(now_ms, service);
        let run_time_ms = self.run_time_ms(service);
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let ahead = ahead.saturating_add(self.waiting_at_peers(now_ms, service));
        let expected_wait_ms = match u64::from(slots) {
            0 => run_time_ms,
            slots => ahead
                .saturating_add(1)
                .saturating_mul(run_time_ms)
                .div_ceil(slots),
        };
        Rejection {
            retry_after_ms: clamp_retry_after(expected_wait_ms),
            expected_wait_ms,
            ahead,
            slots,
        }
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

fn clamp_retry_after(retry_after_ms: u64) -> u64 {
    retry_after_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
}
