//! The targets that this node keeps links to.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use eel_route::TargetInfo;
use eel_store::VmList;
use eel_types::{ListedState, ListedVm, LoadReport, Name, Revision};
use eel_wire::message::{Configuration, Welcome};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    link::{Link, LinkEvents, run},
    node::Context,
    routing::TargetHandle,
};

struct Linked {
    events: Arc<TargetEvents>,
    stop: CancellationToken,
}

/// Follows the VM list, and keeps a link to each live target, until `stop` is cancelled.
pub(crate) async fn follow(
    list: &impl VmList,
    poll: Duration,
    context: Arc<Context>,
    stop: CancellationToken,
) {
    let mut linked: HashMap<Name, Linked> = HashMap::new();
    let mut ticks = tokio::time::interval(poll);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = stop.cancelled() => return,
        }
        match list.read().await {
            Ok(vms) => reconcile(&mut linked, vms, &context, &stop),
            Err(error) => log::warn!(target: "members", "The VM list cannot be read: {error}."),
        }
    }
}

fn reconcile(
    linked: &mut HashMap<Name, Linked>,
    vms: Vec<ListedVm>,
    context: &Arc<Context>,
    stop: &CancellationToken,
) {
    for vm in vms {
        match vm.state {
            ListedState::Leaving => {
                if let Some(known) = linked.get(&vm.name) {
                    known.events.on_leaving();
                }
            }
            ListedState::Live => {
                if !linked.contains_key(&vm.name) {
                    let name = vm.name.clone();
                    linked.insert(name, connect(vm, context, stop));
                }
            }
        }
    }
    linked.retain(|_, known| !known.stop.is_cancelled());
}

fn connect(vm: ListedVm, context: &Arc<Context>, stop: &CancellationToken) -> Linked {
    log::info!(target: "members", "{} has been listed at {}.", vm.name, vm.address);
    let link = Arc::new(Link::new(vm.name.clone(), vm.address));
    let stop = stop.child_token();
    let events = Arc::new(TargetEvents {
        pool: vm.pool,
        info: TargetInfo {
            vm: vm.name,
            same_data_centre: vm.data_centre == context.data_centre,
            data_centre: vm.data_centre,
        },
        link: link.clone(),
        context: context.clone(),
        handle: Mutex::default(),
    });
    let keeper = run(
        link,
        context.endpoint.clone(),
        context.identity.clone(),
        events.clone(),
        stop.clone(),
    );
    tokio::spawn(keeper);
    Linked { events, stop }
}

/// Tells the routing what a link hears.
struct TargetEvents {
    pool: Name,
    info: TargetInfo,
    link: Arc<Link>,
    context: Arc<Context>,
    handle: Mutex<Option<TargetHandle>>,
}

impl TargetEvents {
    fn with_handle(&self, act: impl FnOnce(&TargetHandle)) {
        let handle = self.handle.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = handle.as_ref() {
            act(handle);
        }
    }
}

impl LinkEvents for Arc<TargetEvents> {
    fn on_open(&self, welcome: &Welcome) {
        let routing = &self.context.routing;
        let handle = routing.add_target(&self.pool, self.info.clone(), self.link.clone());
        routing.on_report(&handle, welcome.load);
        *self.handle.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle);
        self.context.metrics.links.inc();
    }

    fn on_alive(&self, load: LoadReport, _revision: Revision) {
        self.with_handle(|handle| self.context.routing.on_report(handle, load));
    }

    fn on_leaving(&self) {
        self.with_handle(|handle| self.context.routing.stop_use(handle));
    }

    fn on_lost(&self) {
        let mut handle = self.handle.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = handle.take() {
            self.context.routing.remove_target(&handle);
            self.context.metrics.links.dec();
        }
    }

    fn wants_credits(&self) -> bool {
        true
    }

    fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.context.in_force.configuration()
    }
}
