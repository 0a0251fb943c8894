//! Shares the admission state machine among the tasks of the process and carries out its actions.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use eel_admit::{
    Action, Admission, Arrival, Event, Finish, LinkHello, LinkKey, Options, ServiceLimits,
};
use eel_types::{Clock, LoadReport, RequestKey};
use eel_verdict::{Reason, Refusal};
use tokio::sync::{Notify, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;

/// The admission decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The request holds a slot and may be sent to the target.
    Start,
    /// The request is refused.
    Refuse(Refusal),
}

/// A request's handle to the admission state machine: receives the decision and a later cancellation.
pub(crate) struct Ticket {
    decision: oneshot::Receiver<Decision>,
    cancelled: CancellationToken,
}

impl Ticket {
    /// Waits for the admission decision.
    pub(crate) async fn decided(&mut self) -> Decision {
        let lost = Decision::Refuse(Refusal::may_have_run(Reason::Cancelled));
        (&mut self.decision).await.unwrap_or(lost)
    }

    /// Waits until the state machine cancels the started request.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }
}

/// The sending side of a [`Ticket`]. `decision` is absent once the decision has been sent.
struct Waiter {
    decision: Option<oneshot::Sender<Decision>>,
    cancelled: CancellationToken,
}

/// The state behind the lock.
struct Inner {
    admission: Admission,
    waiters: HashMap<RequestKey, Waiter>,
    /// The settlement emitted by the event in progress.
    settlement: Option<eel_admit::Settlement>,
    /// The refusal of a duplicate emitted by the event in progress.
    duplicate: Option<Refusal>,
    /// A buffer that is reused from event to event.
    actions: Vec<Action>,
}

/// The admission state machine and the requests that wait for its decisions.
pub(crate) struct SharedAdmission {
    inner: Mutex<Inner>,
    clock: Clock,
    /// Notified when the next deadline of the state machine becomes earlier.
    deadline_changed: Notify,
    drained: watch::Sender<bool>,
    metrics: Arc<Metrics>,
}

impl SharedAdmission {
    pub(crate) fn new(options: Options, clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                admission: Admission::new(options),
                waiters: HashMap::new(),
                settlement: None,
                duplicate: None,
                actions: Vec::new(),
            }),
            clock,
            deadline_changed: Notify::new(),
            drained: watch::Sender::new(false),
            metrics,
        }
    }

    pub(crate) fn open_link(&self, hello: LinkHello) -> LinkKey {
        let mut inner = self.lock();
        let mut actions = Vec::new();
        let key = inner
            .admission
            .open_link(self.clock.now_ms(), hello, &mut actions);
        inner.actions = actions;
        self.apply(&mut inner);
        key
    }

    pub(crate) fn close_link(&self, key: LinkKey) {
        self.on_event(Event::LinkClosed(key));
    }

    /// Submits a request to the state machine.
    pub(crate) fn arrive(&self, arrival: Arrival) -> Ticket {
        let (sender, receiver) = oneshot::channel();
        let cancelled = CancellationToken::new();
        let ticket = Ticket {
            decision: receiver,
            cancelled: cancelled.clone(),
        };
        let waiter = Waiter {
            decision: Some(sender),
            cancelled,
        };
        let key = arrival.key;
        let mut inner = self.lock();
        // A duplicate of a known attempt must not replace the waiter of the first request.
        let previous = inner.waiters.insert(key, waiter);
        self.dispatch(&mut inner, Event::Arrived(arrival));
        if let Some(refusal) = inner.duplicate.take() {
            let duplicate = match previous {
                Some(first) => inner.waiters.insert(key, first),
                None => inner.waiters.remove(&key),
            };
            if let Some(sender) = duplicate.and_then(|waiter| waiter.decision) {
                let _ = sender.send(Decision::Refuse(refusal));
            }
        }
        ticket
    }

    /// Reports that a started request has released its slot.
    pub(crate) fn finish(&self, finish: Finish) {
        let mut inner = self.lock();
        inner.waiters.remove(&finish.key);
        self.dispatch(&mut inner, Event::Finished(finish));
    }

    pub(crate) fn cancel(&self, key: RequestKey) {
        self.on_event(Event::CancelRequested(key));
    }

    /// Returns whether an attempt has started, and prevents it from starting if it has not.
    pub(crate) fn settle(&self, key: RequestKey) -> eel_admit::Settlement {
        let mut inner = self.lock();
        self.dispatch(&mut inner, Event::Settle(key));
        let settlement = inner.settlement.take();
        settlement.unwrap_or(eel_admit::Settlement::Unknown)
    }

    pub(crate) fn configure(&self, limits: ServiceLimits) {
        self.on_event(Event::Configured(limits));
    }

    pub(crate) fn request_credits(&self, link: LinkKey) {
        self.on_event(Event::CreditsRequested(link));
    }

    pub(crate) fn report(&self, link: LinkKey) -> LoadReport {
        self.lock().admission.report(self.clock.now_ms(), link)
    }

    /// Starts to drain: new requests are refused from now on.
    pub(crate) fn start_drain(&self) {
        self.on_event(Event::DrainStarted);
    }

    /// Waits until no request is running or queued after [`SharedAdmission::start_drain`].
    pub(crate) async fn drained(&self) {
        let mut drained = self.drained.subscribe();
        let _ = drained.wait_for(|drained| *drained).await;
    }

    /// Sends a tick to the state machine at each of its deadlines. Never returns.
    pub(crate) async fn run_timer(&self) {
        loop {
            let next_ms = self.lock().admission.next_deadline_ms();
            let changed = self.deadline_changed.notified();
            match next_ms {
                None => changed.await,
                Some(at_ms) => {
                    tokio::select! {
                        () = changed => {}
                        () = tokio::time::sleep_until(self.clock.instant(at_ms).into()) => {
                            self.on_event(Event::Tick);
                        }
                    }
                }
            }
        }
    }

    fn on_event(&self, event: Event) {
        let mut inner = self.lock();
        self.dispatch(&mut inner, event);
    }

    fn dispatch(&self, inner: &mut Inner, event: Event) {
        let before_ms = inner.admission.next_deadline_ms();
        let mut actions = std::mem::take(&mut inner.actions);
        inner
            .admission
            .on_event(self.clock.now_ms(), event, &mut actions);
        inner.actions = actions;
        self.apply(inner);
        let after_ms = inner.admission.next_deadline_ms();
        if after_ms.is_some_and(|after| before_ms.is_none_or(|before| after < before)) {
            self.deadline_changed.notify_one();
        }
    }

    fn apply(&self, inner: &mut Inner) {
        let mut actions = std::mem::take(&mut inner.actions);
        for action in actions.drain(..) {
            self.apply_one(inner, &action);
        }
        inner.actions = actions;
    }

    fn apply_one(&self, inner: &mut Inner, action: &Action) {
        match *action {
            Action::Start(key) => inner.decide(key, Decision::Start),
            Action::Refuse(key, refusal) => {
                inner.decide(key, Decision::Refuse(refusal));
                inner.waiters.remove(&key);
            }
            Action::RefuseDuplicate(_, refusal) => inner.duplicate = Some(refusal),
            Action::Preempt(key) => {
                self.metrics.preemptions.inc();
                inner.cancel(key);
            }
            Action::Cancel(key) => inner.cancel(key),
            Action::Settled(_, settlement) => inner.settlement = Some(settlement),
            // Credits are sent with the next load report.
            Action::Grant { .. } => {}
            Action::DrainDone => {
                self.drained.send_replace(true);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn decide(&mut self, key: RequestKey, decision: Decision) {
        let waiter = self.waiters.get_mut(&key);
        if let Some(sender) = waiter.and_then(|waiter| waiter.decision.take()) {
            let _ = sender.send(decision);
        }
    }

    fn cancel(&mut self, key: RequestKey) {
        if let Some(waiter) = self.waiters.get(&key) {
            waiter.cancelled.cancel();
        }
    }
}
