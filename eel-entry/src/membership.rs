//! Carries out the decisions of the membership state machine: opens, uses and closes links to targets.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use eel_member::{Action, Event, MemberState, Membership, Options, StopReason};
use eel_route::TargetInfo;
use eel_store::VmList;
use eel_types::{Incarnation, LoadReport, Name, Revision};
use eel_wire::message::Configuration;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    link::{DisconnectReason, Link, LinkEvents, run},
    node::Context,
    routing::TargetHandle,
};

/// The interval between ticks of the membership state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the membership state machine on the VM list, read every `poll`, and on link events until `stop` is cancelled.
pub(crate) async fn run_membership(
    list: &impl VmList,
    poll: Duration,
    context: Arc<Context>,
    stop: CancellationToken,
) {
    let (sender, mut events) = mpsc::unbounded_channel();
    let vm = context.identity.vm.clone();
    let options = Options::new(vm, context.data_centre.clone());
    let mut driver = Driver {
        membership: Membership::new(options),
        targets: HashMap::new(),
        sender: sender.clone(),
        context,
        stop: stop.child_token(),
    };
    let _links = driver.stop.clone().drop_guard();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    let polls = read_list(list, poll, &sender);
    tokio::pin!(polls);
    loop {
        let event = tokio::select! {
            Some(event) = events.recv() => event,
            _ = ticks.tick() => Event::Tick,
            () = &mut polls => return,
            () = stop.cancelled() => return,
        };
        driver.on_event(event);
    }
}

async fn read_list(list: &impl VmList, poll: Duration, events: &mpsc::UnboundedSender<Event>) {
    let mut ticks = tokio::time::interval(poll);
    loop {
        ticks.tick().await;
        let event = match list.read().await {
            Ok(vms) => Event::ListRead { vms },
            Err(error) => {
                log::warn!(target: "members", "Cannot read the VM list: {error}.");
                Event::ListFailed
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Applies the actions of the membership state machine.
struct Driver {
    membership: Membership,
    targets: HashMap<Name, Target>,
    sender: mpsc::UnboundedSender<Event>,
    context: Arc<Context>,
    stop: CancellationToken,
}

/// A target with an open link or one being opened.
struct Target {
    shared: Arc<TargetLink>,
    stop: CancellationToken,
}

impl Target {
    /// Closes the link once no attempt runs on it or the membership task ends.
    async fn drain(self) {
        tokio::select! {
            () = self.shared.wait_idle() => {}
            () = self.stop.cancelled() => {}
        }
        self.end();
    }

    fn end(&self) {
        self.shared.remove();
        self.stop.cancel();
    }
}

impl Driver {
    fn on_event(&mut self, event: Event) {
        let now_ms = self.context.clock.now_ms();
        for action in self.membership.on_event(now_ms, event) {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Connect { vm, address } => {
                let context = self.context.clone();
                let target = self.target(vm);
                let connection = run(
                    target.shared.link.clone(),
                    address,
                    context.clone(),
                    target.shared.clone(),
                    target.stop.clone(),
                );
                tokio::spawn(connection);
            }
            Action::StartUse {
                vm,
                pool,
                data_centre,
                incarnation: _,
            } => {
                let info = TargetInfo {
                    vm: vm.clone(),
                    same_data_centre: data_centre == self.context.data_centre,
                    data_centre,
                };
                log::info!(target: "members", "Target {vm} is now in use.");
                self.target(vm).shared.add(&pool, info);
                self.count_targets();
            }
            Action::StopUse { vm, reason, .. } => {
                log::info!(target: "members", "Target {vm} is no longer in use: {reason:?}.");
                if let Some(target) = self.targets.get(&vm) {
                    target.shared.stop_use(reason);
                }
                self.count_targets();
            }
            Action::Disconnect { vm, reason } => {
                self.context.peers.remove(&vm);
                if let Some(target) = self.targets.remove(&vm) {
                    match reason {
                        StopReason::Replaced => drop(tokio::spawn(target.drain())),
                        _ => target.end(),
                    }
                }
            }
        }
    }

    fn count_targets(&self) {
        let members = self.membership.members();
        let used = members
            .filter(|member| member.state() == MemberState::Live)
            .count();
        let used = i64::try_from(used).unwrap_or(i64::MAX);
        self.context.metrics.targets.set(used);
    }

    fn target(&mut self, vm: Name) -> &Target {
        let context = &self.context;
        self.targets.entry(vm).or_insert_with_key(|vm| {
            let link = Arc::new(Link::new(vm.clone()));
            context.peers.insert(link.clone());
            Target {
                shared: Arc::new(TargetLink {
                    link,
                    context: context.clone(),
                    events: self.sender.clone(),
                    routing_state: Mutex::default(),
                }),
                stop: self.stop.child_token(),
            }
        })
    }
}

/// Forwards the events of one link to the membership state machine and to routing.
struct TargetLink {
    link: Arc<Link>,
    context: Arc<Context>,
    events: mpsc::UnboundedSender<Event>,
    routing_state: Mutex<RoutingState>,
}

/// The target's entry in routing, if it is in use, and its latest load.
#[derive(Default)]
struct RoutingState {
    handle: Option<TargetHandle>,
    pool: Option<Name>,
    load: LoadReport,
}

impl TargetLink {
    /// Adds the target to `pool` in routing, in place of an earlier use.
    fn add(&self, pool: &Name, info: TargetInfo) {
        self.remove();
        let routing = &self.context.routing;
        let mut routing_state = self.lock();
        let handle = routing.add_target(pool, info, self.link.clone());
        routing.on_report(&handle, routing_state.load);
        routing_state.handle = Some(handle);
        routing_state.pool = Some(pool.clone());
    }

    fn stop_use(&self, reason: StopReason) {
        match reason {
            // Running attempts still count as load of the target until it is removed.
            StopReason::Leaving | StopReason::Replaced => {
                if let Some(handle) = &self.lock().handle {
                    self.context.routing.stop_use(handle);
                }
            }
            StopReason::Silent | StopReason::Closed | StopReason::Restarted => self.remove(),
        }
    }

    /// Waits until no attempt of this node runs at the target.
    async fn wait_idle(&self) {
        let is_busy = |handle: &TargetHandle| self.context.routing.is_busy(handle);
        while self.lock().handle.as_ref().is_some_and(is_busy) {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Removes the target from routing.
    fn remove(&self) {
        if let Some(handle) = self.lock().handle.take() {
            self.context.routing.remove_target(&handle);
        }
    }

    fn lock(&self) -> MutexGuard<'_, RoutingState> {
        self.routing_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn send_event(&self, event: Event) {
        // The receiver is dropped only during shutdown.
        let _ = self.events.send(event);
    }
}

impl LinkEvents for Arc<TargetLink> {
    fn on_heartbeat(&self, incarnation: Incarnation, load: LoadReport, _revision: Revision) {
        let mut routing_state = self.lock();
        routing_state.load = load;
        if let Some(handle) = &routing_state.handle {
            self.context.routing.on_report(handle, load);
        }
        drop(routing_state);
        self.send_event(Event::MessageReceived {
            vm: self.link.vm.clone(),
            incarnation,
        });
    }

    fn on_leaving(&self, incarnation: Incarnation) {
        self.send_event(Event::LeavingAnnounced {
            vm: self.link.vm.clone(),
            incarnation,
        });
    }

    fn on_disconnected(&self, incarnation: Option<Incarnation>, reason: DisconnectReason) {
        let vm = self.link.vm.clone();
        match reason {
            DisconnectReason::Silent => self.send_event(Event::LinkSilent { vm, incarnation }),
            DisconnectReason::Closed => self.send_event(Event::LinkClosed { vm, incarnation }),
            // This node closed the link by its own decision. A report would count as a failure of the target and
            // affect a later link.
            DisconnectReason::Stopped => {}
        }
    }

    fn wants_credits(&self) -> bool {
        let pool = self.lock().pool.clone();
        pool.is_some_and(|pool| self.context.wants_credits(&pool))
    }

    fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.context.config.configuration()
    }
}
