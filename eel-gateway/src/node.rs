//! The gateway process: binds its listeners, runs its tasks and shuts down.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eel_admin::HttpServer;
use eel_fleet::{NodeEntry, Placement};
use eel_platform::{PlatformStore, StoreOptions};
use eel_settings::GatewaySettings;
use eel_supervise::{RestartPolicy, Shutdown, Supervisor};
use error_stack::{Report, ResultExt as _};
use tokio::{
    net::{TcpListener, UdpSocket},
    time::{Instant, interval, sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    Error,
    batch::Worker,
    caller_limits::CallerLimits,
    context::{Context, ContextOptions},
    http::{serve_callers, serve_readiness},
    limits, origins, quarantine, quotas, reports,
    store::{expire_targets, follow, keep_entry},
};

/// How long the node keeps accepting connections after it has stopped being ready: the load balancer checks readiness
/// every second and stops sending connections after two negative responses.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// How long the store may hold a watch call while there are no changes, in ms. Together with the call timeout of one
/// second, a lost response is detected within the 3 s after which a node without faults must know the newest routes.
const WATCH_WAIT_MS: u64 = 1_500;
/// How often waiting requests are dispatched or rejected while no other event does so, and targets are dropped that have not
/// reappeared after an outage of the store.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// How often expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The part of the drain timeout that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// The part of [`EXIT_MARGIN`] in which refusals are sent to the requests that have no response yet.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// A gateway node with bound listeners that is not serving yet.
pub struct GatewayNode {
    context: Arc<Context>,
    callers: Option<TcpListener>,
    ready: Option<TcpListener>,
    admin: TcpListener,
    peers: Arc<UdpSocket>,
    entry: NodeEntry,
    settings: GatewaySettings,
}

impl GatewayNode {
    /// Creates the store client and binds the listeners that `settings` name.
    ///
    /// # Errors
    ///
    /// [`Error::Client`] if the store client cannot be created, [`Error::Bind`] if an address cannot be bound.
    pub async fn bind(settings: &GatewaySettings) -> Result<Self, Report<Error>> {
        let store = PlatformStore::new(&StoreOptions {
            endpoint: settings.store.endpoint.as_str().to_owned(),
            call_timeout_ms: settings.store.timeout_ms,
            watch_wait_ms: WATCH_WAIT_MS,
            max_staleness_ms: settings.store.max_staleness_ms,
        })
        .change_context(Error::Client)?;
        let callers = bind_optional(settings.listen.http).await?;
        let ready = bind_optional(settings.listen.ready).await?;
        let admin = bind(settings.listen.admin).await?;
        let peers = reports::bind(settings.listen.peers)
            .await
            .change_context(Error::Bind)?;
        let address = peers.local_addr().change_context(Error::Bind)?;
        let context = Context::new(ContextOptions {
            name: settings.node.name.clone(),
            data_centre: settings.node.data_centre.clone(),
            runs_batch: settings.batch.enabled,
            placement: Placement {
                speed_aware: settings.placement.speed_aware,
                warm_up: settings.placement.warm_up,
            },
            store,
            prefix: settings.store.prefix.clone(),
            caller_limits: CallerLimits::of(&settings.limits),
        });
        let entry = NodeEntry {
            incarnation: context.incarnation,
            token: context.token,
            ip: address.ip(),
            port: address.port(),
            runs_batch: settings.batch.enabled,
        };
        Ok(Self {
            context: Arc::new(context),
            callers,
            ready,
            admin,
            peers,
            entry,
            settings: settings.clone(),
        })
    }

    /// Returns the address of the listener for callers; `None` if this node serves none.
    #[must_use]
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.callers.as_ref()?.local_addr().ok()
    }

    /// Returns the address of the listener for readiness checks; `None` if there is none.
    #[must_use]
    pub fn ready_address(&self) -> Option<SocketAddr> {
        self.ready.as_ref()?.local_addr().ok()
    }

    /// Returns the address of the listener for the admin pages; `None` if it cannot be read.
    #[must_use]
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.local_addr().ok()
    }

    /// Serves until `shutdown` asks the node to drain or to stop at once.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the admin pages cannot be served, [`Error::Supervisor`] if a task failed too often.
    pub async fn run(self, shutdown: Shutdown) -> Result<(), Report<Error>> {
        let context = self.context;
        log::info!(
            target: "node", name = context.name.as_str(), incarnation = context.incarnation, batch = context.runs_batch;
            "The node has started."
        );
        let mut registry = eel_telemetry::metrics::registry();
        context.metrics.register(&mut registry);
        let ready_context = context.clone();
        let is_ready = move || ready_context.is_ready();
        let admin = HttpServer::start(self.admin, eel_admin::router(registry, is_ready))
            .change_context(Error::Bind)?;
        let stop = CancellationToken::new();
        let closing = CancellationToken::new();
        let connections = TaskTracker::new();
        let mut supervisor = Supervisor::new(stop.clone(), RestartPolicy::default());
        let worker = context
            .runs_batch
            .then(|| Worker::new(context.clone(), self.settings.batch.parallel_items));
        let ttl_ms = self.settings.store.lease_ttl_ms;
        spawn_tasks(
            &mut supervisor,
            &context,
            self.peers,
            self.entry,
            ttl_ms,
            &stop,
        );
        if let Some(worker) = &worker {
            spawn_worker(&mut supervisor, worker, &stop);
        }
        if let Some(ready) = self.ready {
            tokio::spawn(serve_readiness(context.clone(), ready));
        }
        let takes_callers = self.callers.is_some();
        if let Some(callers) = self.callers {
            tokio::spawn(serve_callers(
                context.clone(),
                callers,
                closing.clone(),
                connections.clone(),
            ));
        }
        let limit =
            Duration::from_millis(self.settings.drain.timeout_ms).saturating_sub(EXIT_MARGIN);
        let outcome = tokio::select! {
            ended = supervisor.join() => ended.change_context(Error::Supervisor),
            () = drain(&context, worker.as_ref(), shutdown, &closing, &connections, takes_callers, limit) => Ok(()),
        };
        stop.cancel();
        drop(admin);
        log::info!(target: "node", "The node has stopped.");
        outcome
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    TcpListener::bind(address)
        .await
        .change_context(Error::Bind)
        .attach_with(|| format!("address {address}"))
}

async fn bind_optional(address: Option<SocketAddr>) -> Result<Option<TcpListener>, Report<Error>> {
    match address {
        Some(address) => bind(address).await.map(Some),
        None => Ok(None),
    }
}

fn spawn_tasks(
    supervisor: &mut Supervisor,
    context: &Arc<Context>,
    socket: Arc<UdpSocket>,
    entry: NodeEntry,
    ttl_ms: u64,
    stop: &CancellationToken,
) {
    spawn(supervisor, "store", context, stop, |context| async move {
        follow(&context).await;
    });
    spawn(supervisor, "entry", context, stop, move |context| {
        let entry = entry.clone();
        async move {
            keep_entry(&context, &entry, ttl_ms).await;
            // The node is draining: the other tasks run until they are stopped.
            std::future::pending::<()>().await;
        }
    });
    let receiver = socket.clone();
    let sender = socket.clone();
    let limits_sender = socket.clone();
    let quotas_sender = socket.clone();
    spawn(supervisor, "reports out", context, stop, move |context| {
        let socket = socket.clone();
        async move { reports::send_reports(&context, &socket).await }
    });
    spawn(supervisor, "notices out", context, stop, move |context| {
        let socket = sender.clone();
        async move { quarantine::send_notices(&context, &socket).await }
    });
    spawn(supervisor, "limits out", context, stop, move |context| {
        let socket = limits_sender.clone();
        async move { limits::send_notices(&context, &socket).await }
    });
    spawn(supervisor, "quotas out", context, stop, move |context| {
        let socket = quotas_sender.clone();
        async move { quotas::send_notices(&context, &socket).await }
    });
    spawn(
        supervisor,
        "blocked parts",
        context,
        stop,
        |context| async move {
            quarantine::keep_records(&context).await;
        },
    );
    spawn(supervisor, "origins", context, stop, |context| async move {
        origins::write_journal(&context).await;
    });
    spawn(
        supervisor,
        "default versions",
        context,
        stop,
        |context| async move {
            origins::keep_defaults(&context).await;
        },
    );
    spawn(supervisor, "reports in", context, stop, move |context| {
        let socket = receiver.clone();
        async move { reports::receive_reports(&context, &socket).await }
    });
    spawn(supervisor, "clock", context, stop, |context| async move {
        tick(&context).await;
    });
}

fn spawn_worker(supervisor: &mut Supervisor, worker: &Arc<Worker>, stop: &CancellationToken) {
    spawn(supervisor, "items", worker, stop, |worker| async move {
        worker.run().await;
    });
    spawn(supervisor, "results", worker, stop, |worker| async move {
        worker.list_results().await;
    });
}

/// Runs a supervised task over `shared` until `stop` is cancelled.
fn spawn<T, F>(
    supervisor: &mut Supervisor,
    name: &'static str,
    shared: &Arc<T>,
    stop: &CancellationToken,
    task: impl Fn(Arc<T>) -> F + Send + Sync + 'static,
) where
    T: Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let shared = shared.clone();
    let stop = stop.clone();
    supervisor.spawn(name, move || {
        let task = task(shared.clone());
        let stop = stop.clone();
        async move {
            tokio::select! {
                () = task => {}
                () = stop.cancelled() => {}
            }
            Ok(())
        }
    });
}

/// Periodically dispatches waiting requests, drops targets that have not reappeared and closes expired idle connections.
async fn tick(context: &Context) {
    let mut ticks = interval(TICK_INTERVAL);
    let mut swept = Instant::now();
    loop {
        ticks.tick().await;
        context.slots.update(|_| ());
        expire_targets(context);
        if swept.elapsed() >= SWEEP_INTERVAL {
            swept = Instant::now();
            context.pool.sweep(swept.into_std());
        }
    }
}

/// Waits for the drain signal, then for the load balancer to stop sending connections, then for open requests.
async fn drain(
    context: &Context,
    worker: Option<&Arc<Worker>>,
    shutdown: Shutdown,
    closing: &CancellationToken,
    connections: &TaskTracker,
    takes_callers: bool,
    limit: Duration,
) {
    tokio::select! {
        () = shutdown.drain.cancelled() => {}
        () = shutdown.now.cancelled() => return,
    }
    log::info!(target: "node", "The node is draining.");
    context.draining.cancel();
    let drain_end = (Instant::now() + limit).into_std();
    let close = || {
        context.on_closing(drain_end);
        closing.cancel();
        connections.close();
    };
    let items_ended = async {
        if let Some(worker) = worker {
            worker.drain().await;
        }
    };
    let callers_left = async {
        if takes_callers {
            sleep(BALANCER_DELAY).await;
        }
        close();
        connections.wait().await;
    };
    // Callers are not accepted for longer because a slow store holds up the items.
    let finished = async { tokio::join!(items_ended, callers_left) };
    let drained = async {
        if timeout(limit, finished).await.is_err() {
            log::warn!(target: "node", open = connections.len(); "The drain timed out before all connections were closed.");
            context.refusing.cancel();
            close();
            // Streams that are still open are cut when the process ends.
            let _ = timeout(REFUSAL_TIMEOUT, connections.wait()).await;
        }
    };
    tokio::select! {
        () = drained => {}
        () = shutdown.now.cancelled() => {}
    }
}
