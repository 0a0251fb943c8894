//! Carries out the membership decisions: links are opened, used and given up.

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
    link::{Link, LinkEvents, Loss, run},
    node::Context,
    routing::TargetHandle,
};

/// The time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(200);

/// Follows the VM list and the links until `stop` is cancelled.
pub(crate) async fn follow(
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
    let mut ticks = tokio::time::interval(TICK);
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
                log::warn!(target: "members", "The VM list cannot be read: {error}.");
                Event::ListFailed
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

struct Driver {
    membership: Membership,
    targets: HashMap<Name, Target>,
    sender: mpsc::UnboundedSender<Event>,
    context: Arc<Context>,
    stop: CancellationToken,
}

/// A target that is linked or used.
struct Target {
    shared: Arc<TargetLink>,
    stop: CancellationToken,
}

impl Target {
    /// Ends the link once nothing runs on it.
    async fn drain(self) {
        tokio::select! {
            () = self.shared.idle() => {}
            () = self.stop.cancelled() => {}
        }
        self.end();
    }

    fn end(&self) {
        self.shared.forget();
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
                let keeper = run(
                    target.shared.link.clone(),
                    address,
                    context.clone(),
                    target.shared.clone(),
                    target.stop.clone(),
                );
                tokio::spawn(keeper);
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
                log::info!(target: "members", "{vm} is used.");
                self.target(vm).shared.start_use(&pool, info);
                self.count_targets();
            }
            Action::StopUse { vm, reason, .. } => {
                log::info!(target: "members", "{vm} is not used any more: {reason:?}.");
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
                    in_use: Mutex::default(),
                }),
                stop: self.stop.child_token(),
            }
        })
    }
}

/// Joins what a link hears with the membership decisions and the routing.
struct TargetLink {
    link: Arc<Link>,
    context: Arc<Context>,
    events: mpsc::UnboundedSender<Event>,
    in_use: Mutex<InUse>,
}

#[derive(Default)]
struct InUse {
    handle: Option<TargetHandle>,
    pool: Option<Name>,
    load: LoadReport,
}

impl TargetLink {
    fn start_use(&self, pool: &Name, info: TargetInfo) {
        self.forget();
        let routing = &self.context.routing;
        let mut in_use = self.lock();
        let handle = routing.add_target(pool, info, self.link.clone());
        routing.on_report(&handle, in_use.load);
        in_use.handle = Some(handle);
        in_use.pool = Some(pool.clone());
    }

    fn stop_use(&self, reason: StopReason) {
        match reason {
            // What the target runs still counts as its load until it is forgotten.
            StopReason::Leaving | StopReason::Replaced => {
                if let Some(handle) = &self.lock().handle {
                    self.context.routing.stop_use(handle);
                }
            }
            StopReason::Silent | StopReason::Closed | StopReason::Restarted => self.forget(),
        }
    }

    /// Returns once no attempt of this node runs at the target.
    async fn idle(&self) {
        let is_busy = |handle: &TargetHandle| self.context.routing.is_busy(handle);
        while self.lock().handle.as_ref().is_some_and(is_busy) {
            tokio::time::sleep(TICK).await;
        }
    }

    fn forget(&self) {
        if let Some(handle) = self.lock().handle.take() {
            self.context.routing.remove_target(&handle);
        }
    }

    fn lock(&self) -> MutexGuard<'_, InUse> {
        self.in_use.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self, event: Event) {
        // The receiver is gone only while the process ends.
        let _ = self.events.send(event);
    }
}

impl LinkEvents for Arc<TargetLink> {
    fn on_alive(&self, incarnation: Incarnation, load: LoadReport, _revision: Revision) {
        let mut in_use = self.lock();
        in_use.load = load;
        if let Some(handle) = &in_use.handle {
            self.context.routing.on_report(handle, load);
        }
        drop(in_use);
        self.tell(Event::MessageReceived {
            vm: self.link.vm.clone(),
            incarnation,
        });
    }

    fn on_leaving(&self, incarnation: Incarnation) {
        self.tell(Event::LeavingAnnounced {
            vm: self.link.vm.clone(),
            incarnation,
        });
    }

    fn on_lost(&self, incarnation: Option<Incarnation>, loss: Loss) {
        let vm = self.link.vm.clone();
        match loss {
            Loss::Silent => self.tell(Event::LinkSilent { vm, incarnation }),
            Loss::Closed => self.tell(Event::LinkClosed { vm, incarnation }),
            Loss::Stopped => {} // this node's own decision, which a later link must not suffer for
        }
    }

    fn wants_credits(&self) -> bool {
        let pool = self.lock().pool.clone();
        pool.is_some_and(|pool| self.context.wants_credits(&pool))
    }

    fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.context.in_force.configuration()
    }
}
