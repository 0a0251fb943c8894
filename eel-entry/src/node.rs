//! Start, shared state and shutdown of the entry node process.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use eel_admin::HttpServer;
use eel_jobs::JobNode;
use eel_settings::EntrySettings;
use eel_store::{EtcdJson, EtcdOptions, HttpVmList};
use eel_supervise::{RestartPolicy, Shutdown, Supervisor};
use eel_types::{Clock, Incarnation, Name};
use eel_wire::credentials::{CredentialPaths, Credentials};
use error_stack::{Report, ResultExt as _};
use prometheus_client::registry::Registry;
use salvo::Router;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    Error, admin,
    batch::BatchHost,
    config::ConfigState,
    idempotency::Claims,
    link::{Endpoints, Identity},
    metrics::Metrics,
    peers::Peers,
    routing::Routing,
    serve,
    tasks::{spawn_config, spawn_jobs, spawn_membership},
};

/// The time for which the node still accepts requests after it reports that it is not ready, so that the load balancer
/// can stop sending to it.
const BALANCER_DELAY: Duration = Duration::from_secs(2);

/// State shared by all tasks of the process.
pub struct Context {
    pub(crate) data_centre: Name,
    pub(crate) clock: Clock,
    pub(crate) identity: Identity,
    pub(crate) endpoints: Endpoints,
    pub(crate) routing: Arc<Routing>,
    pub(crate) config: ConfigState,
    pub(crate) peers: Peers,
    pub(crate) claims: Claims,
    /// Batch job processing; set once the node runs.
    pub(crate) jobs: OnceLock<Arc<Jobs>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) trace_sample_percent: u8,
    /// Cancelled once the node starts to shut down and is no longer ready.
    pub(crate) draining: CancellationToken,
    /// Cancelled when an immediate shutdown interrupts the drain; new requests are refused from then on.
    pub(crate) stopping: CancellationToken,
}

impl Context {
    /// Returns whether this node has batch items for the targets of `pool`.
    pub(crate) fn wants_credits(&self, pool: &Name) -> bool {
        let Some(jobs) = self.jobs.get() else {
            return false;
        };
        let live = self.config.live();
        let mut services = live.snapshot.services.iter();
        services.any(|(name, service)| service.pool == *pool && jobs.wants_credits(name))
    }

    /// Randomly decides whether a request without a trace context is traced.
    pub(crate) fn is_sampled(&self) -> bool {
        self.trace_sample_percent > 0
            && rand::random_range(0..100) < u32::from(self.trace_sample_percent)
    }
}

/// An entry node whose listeners are bound and that does not serve yet.
pub struct EntryNode {
    context: Arc<Context>,
    store: EtcdJson,
    http: TcpListener,
    admin: TcpListener,
    registry: Registry,
    settings: EntrySettings,
}

impl EntryNode {
    /// Binds the listeners given in `settings`.
    ///
    /// # Errors
    ///
    /// [`Error::Credentials`], [`Error::Bind`], or [`Error::Client`] if the store's client cannot be created.
    pub async fn bind(settings: &EntrySettings) -> Result<Self, Report<Error>> {
        let credentials = Credentials::load(&CredentialPaths {
            ca: settings.tls.ca.clone(),
            certificate: settings.tls.certificate.clone(),
            key: settings.tls.key.clone(),
        })
        .change_context(Error::Credentials)?;
        let endpoints =
            Endpoints::bind(settings.listen.quic_bind, credentials).change_context(Error::Bind)?;
        let http = TcpListener::bind(settings.listen.http)
            .await
            .change_context(Error::Bind)?;
        let admin = TcpListener::bind(settings.listen.admin)
            .await
            .change_context(Error::Bind)?;
        let (metrics, registry) = Metrics::register();
        let store = open_store(settings)?;
        let context = new_context(settings, store.clone(), endpoints, metrics);
        Ok(Self {
            context: Arc::new(context),
            store,
            http,
            admin,
            registry,
            settings: settings.clone(),
        })
    }

    /// Returns the address of the HTTP listener for callers.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the socket has no address.
    pub fn http_address(&self) -> Result<SocketAddr, Report<Error>> {
        self.http.local_addr().change_context(Error::Bind)
    }

    /// Returns the address of the admin listener.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the socket has no address.
    pub fn admin_address(&self) -> Result<SocketAddr, Report<Error>> {
        self.admin.local_addr().change_context(Error::Bind)
    }

    /// Serves until `shutdown` is requested and open requests have ended or the drain timeout has passed.
    ///
    /// # Errors
    ///
    /// [`Error::Client`] if the client of the VM list cannot be created, [`Error::Bind`] if a listener cannot be
    /// started, [`Error::Supervisor`] if a supervised task exceeded its restart limit.
    pub async fn run(self, shutdown: Shutdown) -> Result<(), Report<Error>> {
        let stop = CancellationToken::new();
        let context = self.context;
        let vms = open_vm_list(&self.settings)?;
        let mut supervisor = Supervisor::new(stop.clone(), RestartPolicy::default());
        let prefix = format!("{}/config/", self.settings.store.prefix);
        spawn_config(&mut supervisor, &context, self.store.clone(), prefix, &stop);
        let poll = Duration::from_millis(self.settings.vm_list.poll_ms);
        spawn_membership(&mut supervisor, &context, vms, poll, &stop);
        let jobs = new_jobs(&self.settings, self.store, &context);
        let mut registry = self.registry;
        jobs.metrics().register(&mut registry);
        let admin = start(self.admin, admin::router(context.clone(), registry))?;
        let _ = context.jobs.set(jobs.clone());
        spawn_jobs(&mut supervisor, &jobs, &stop);
        let routes = serve::router(context.clone(), eel_jobs::router(&jobs));
        let callers = start(self.http, routes)?;
        let timeout = Duration::from_millis(self.settings.drain.timeout_ms);
        let outcome = tokio::select! {
            ended = supervisor.join() => ended.change_context(Error::Supervisor),
            () = drain(&context, &jobs, shutdown, callers, timeout) => Ok(()),
        };
        stop.cancel();
        drop(admin);
        context.endpoints.close().await;
        outcome
    }
}

fn new_context(
    settings: &EntrySettings,
    store: EtcdJson,
    endpoints: Endpoints,
    metrics: Arc<Metrics>,
) -> Context {
    let clock = Clock::start();
    Context {
        data_centre: settings.node.data_centre.clone(),
        clock,
        identity: Identity {
            vm: settings.node.name.clone(),
            incarnation: Incarnation::random(&mut rand::rng()),
            clock,
        },
        endpoints,
        routing: Arc::new(Routing::new(clock)),
        config: ConfigState::new(),
        peers: Peers::default(),
        jobs: OnceLock::new(),
        claims: Claims::new(store, &settings.store.prefix, clock),
        metrics,
        trace_sample_percent: settings.telemetry.trace_sample_percent,
        draining: CancellationToken::new(),
        stopping: CancellationToken::new(),
    }
}

fn open_store(settings: &EntrySettings) -> Result<EtcdJson, Report<Error>> {
    let endpoints = settings.store.endpoints.iter();
    let mut options = EtcdOptions::new(String::new());
    options.endpoints = endpoints.map(ToString::to_string).collect();
    options.call_timeout_ms = settings.store.timeout_ms;
    EtcdJson::new(&options).change_context(Error::Client)
}

fn open_vm_list(settings: &EntrySettings) -> Result<HttpVmList, Report<Error>> {
    let url = settings.vm_list.url.as_str();
    HttpVmList::new(url, settings.store.timeout_ms).change_context(Error::Client)
}

fn start(listener: TcpListener, router: Router) -> Result<HttpServer, Report<Error>> {
    HttpServer::start(listener, router).change_context(Error::Bind)
}

/// Batch job processing on the node's store and targets.
pub(crate) type Jobs = JobNode<EtcdJson, BatchHost>;

fn new_jobs(settings: &EntrySettings, store: EtcdJson, context: &Arc<Context>) -> Arc<Jobs> {
    let options = eel_jobs::Options {
        claims_enabled: settings.batch.enabled,
        parallel_chunks: settings.batch.parallel_chunks as usize,
        lease_ttl_ms: settings.store.lease_ttl_ms,
        ..eel_jobs::Options::new(settings.node.name.clone(), &settings.store.prefix)
    };
    let host = Arc::new(BatchHost::new(context.clone()));
    JobNode::new(options, store, host)
}

/// Waits for the shutdown request, then for the load balancer to stop sending, then at most `timeout` each for open
/// requests and for batch jobs. A request to shut down immediately ends the wait.
async fn drain(
    context: &Context,
    jobs: &Jobs,
    shutdown: Shutdown,
    callers: HttpServer,
    timeout: Duration,
) {
    tokio::select! {
        () = shutdown.drain.cancelled() => {}
        () = shutdown.now.cancelled() => return,
    }
    log::info!(target: "node", "Leaving.");
    context.draining.cancel();
    jobs.start_drain();
    let finished = async {
        tokio::time::sleep(BALANCER_DELAY).await;
        callers.drain(timeout).await;
        let _ = tokio::time::timeout(timeout, jobs.stopped()).await;
    };
    tokio::select! {
        () = finished => log::info!(target: "node", "Drained."),
        () = shutdown.now.cancelled() => {
            context.stopping.cancel();
            log::warn!(target: "node", "The node stops with open requests.");
        }
    }
}
